"""Statements, their shapes and their run times, as the statement benches and the tests draw them."""

from random import Random

COLUMNS = ["id", "member", "title", "due", "returned", "branch", "renewed", "copy"]
TABLES = ["loans", "titles", "members", "holds", "copies", "fines"]
SLOWDOWN = 5  # of a shape that has turned slower


def statement(random: Random, shape: int) -> str:
    """One statement of a shape; its literals are drawn."""
    form = Random(shape)
    columns = ", ".join(form.sample(COLUMNS, form.randint(1, 5)))
    table, schema = form.choice(TABLES), f"lending_{form.randint(1, 40)}"
    conditions = " AND ".join(
        _predicate(random, form, column) for column in form.sample(COLUMNS, form.randint(1, 3))
    )
    tail = form.choice(["", " ORDER BY due", " ORDER BY due DESC LIMIT 10", " LIMIT 20"])
    if form.random() < 0.15:
        counted = f"SELECT branch, count(*) FROM {schema}.{table} WHERE {conditions}"
        return f"{counted} GROUP BY branch ORDER BY 2 DESC"
    if form.random() < 0.1:
        member = random.randint(1, 10**6)
        return f"UPDATE {schema}.loans SET due = '{random.random()}' WHERE member = {member}"
    return f"SELECT {columns} FROM {schema}.{table} WHERE {conditions}{tail}"


def _predicate(random: Random, form: Random, column: str) -> str:
    if form.random() < 0.7:
        return f"{column} = {random.randint(1, 10**6)}"
    return f"{column} IN ('{random.random()}', 'x')"


def skewed(random: Random, shapes: int) -> int:
    """The number of a shape, few of which come often."""
    return min(shapes - 1, int(random.paretovariate(0.8)) - 1)


def run_time(random: Random, usual: float) -> float:
    """One run: spread log-normally by 0.25; one in 25 has a poor plan and takes 14 to 25 times as long."""
    slowdown = random.uniform(14, 25) if random.random() < 0.04 else 1.0
    return usual * random.lognormvariate(0, 0.25) * slowdown


def slow_run_time(random: Random, usual: float) -> float:
    """One run of a shape that has turned slower."""
    return SLOWDOWN * usual * random.lognormvariate(0, 0.25)


def share_within_twice(expected: dict[int, float], usual: dict[int, float], random: Random) -> float:
    """The share of 50 further runs of each shape whose time is within a factor of 2 of the expected one."""
    pairs = [(expected[n], run_time(random, usual[n])) for n in usual for _ in range(50)]
    return sum(0.5 <= cost / real <= 2 for cost, real in pairs) / len(pairs)


def quantiles(values: list[float]) -> dict[str, float]:
    """The median and the 99th percentile, rounded."""
    ordered = sorted(values)
    return {
        f"p{percent}": round(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)], 1)
        for percent in (50, 99)
    }


def fingerprint_of(n: int) -> bytes:
    """A fingerprint for a number."""
    return Random(n).randbytes(16)
