"""Classes go by name: which number stands for which name, across new configurations."""

from collections.abc import Collection, Iterable, Mapping

from query_gateway.model.settings import ClassSettings


def numbered(names: Iterable[str], current: Mapping[str, int], held: Collection[int]) -> dict[str, int]:
    """The number that a name has, else the lowest that stands for no class and that nothing open holds."""
    names = list(names)
    numbers = {name: current[name] for name in names if name in current}
    taken = {*numbers.values(), *held}
    free = 0
    for name in names:
        if name in numbers:
            continue
        while free in taken:
            free += 1
        numbers[name] = free
        taken.add(free)
    return numbers


def laid_out(old: tuple[ClassSettings, ...], rules: Mapping[int, ClassSettings]) -> tuple[ClassSettings, ...]:
    """Rules by number; a number without a class keeps the rules it had, for what is open under them."""
    size = max(len(old), *(number + 1 for number in rules))
    return tuple(rules[n] if n in rules else old[n] for n in range(size))
