"""Random statements, shapes and run times for the statement benches and the tests."""

from random import Random

COLUMNS = ["id", "member", "title", "due", "returned", "branch", "renewed", "copy"]
TABLES = ["loans", "titles", "members", "holds", "copies", "fines"]
SLOWDOWN = 5  # factor for a shape that has become slower


def statement(random: Random, shape: int) -> str:
    """A statement of the shape with this number; `random` draws only the literals."""
    shape_random = Random(shape)
    columns = ", ".join(shape_random.sample(COLUMNS, shape_random.randint(1, 5)))
    table, schema = shape_random.choice(TABLES), f"lending_{shape_random.randint(1, 40)}"
    conditions = " AND ".join(
        _predicate(random, shape_random, column)
        for column in shape_random.sample(COLUMNS, shape_random.randint(1, 3))
    )
    tail = shape_random.choice(["", " ORDER BY due", " ORDER BY due DESC LIMIT 10", " LIMIT 20"])
    if shape_random.random() < 0.15:
        select = f"SELECT branch, count(*) FROM {schema}.{table} WHERE {conditions}"
        return f"{select} GROUP BY branch ORDER BY 2 DESC"
    if shape_random.random() < 0.1:
        member = random.randint(1, 10**6)
        return f"UPDATE {schema}.loans SET due = '{random.random()}' WHERE member = {member}"
    return f"SELECT {columns} FROM {schema}.{table} WHERE {conditions}{tail}"


def _predicate(random: Random, shape_random: Random, column: str) -> str:
    if shape_random.random() < 0.7:
        return f"{column} = {random.randint(1, 10**6)}"
    return f"{column} IN ('{random.random()}', 'x')"


def skewed(random: Random, shapes: int) -> int:
    """A shape number from a skewed distribution, in which a few shapes are frequent."""
    return min(shapes - 1, int(random.paretovariate(0.8)) - 1)


def run_time(random: Random, usual: float) -> float:
    """A run time, log-normal with sigma 0.25; one in 25 has a poor plan and takes 14 to 25 times as long."""
    slowdown = random.uniform(14, 25) if random.random() < 0.04 else 1.0
    return usual * random.lognormvariate(0, 0.25) * slowdown


def slow_run_time(random: Random, usual: float) -> float:
    """A run time of a shape that has become `SLOWDOWN` times slower, without the poor plans of `run_time`."""
    return SLOWDOWN * usual * random.lognormvariate(0, 0.25)


def share_within_twice(expected: dict[int, float], usual: dict[int, float], random: Random) -> float:
    """The share, over 50 further runs of each shape, of times within a factor of 2 of the expected time."""
    pairs = [(expected[n], run_time(random, usual[n])) for n in usual for _ in range(50)]
    return sum(0.5 <= cost / actual <= 2 for cost, actual in pairs) / len(pairs)


def quantiles(values: list[float]) -> dict[str, float]:
    """The median and the 99th percentile, rounded."""
    ordered = sorted(values)
    return {
        f"p{percent}": round(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)], 1)
        for percent in (50, 99)
    }


def fingerprint_of(n: int) -> bytes:
    """A random fingerprint that is always the same for the same number."""
    return Random(n).randbytes(16)
