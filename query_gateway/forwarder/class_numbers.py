"""The numbers of request classes: which number stands for which class name across configuration reloads."""

from collections.abc import Collection, Iterable, Mapping

from query_gateway.model.settings import ClassSettings


def assign_class_numbers(
    names: Iterable[str], current: Mapping[str, int], in_use: Collection[int]
) -> dict[str, int]:
    """Number each class name; `in_use` are the numbers that open requests still refer to.

    A name keeps the number that it has in `current`. Every other name gets the lowest number that stands for
    no class and is not in use.
    """
    names = list(names)
    numbers = {name: current[name] for name in names if name in current}
    unavailable = {*numbers.values(), *in_use}
    candidate = 0
    for name in names:
        if name in numbers:
            continue
        while candidate in unavailable:
            candidate += 1
        numbers[name] = candidate
        unavailable.add(candidate)
    return numbers


def class_settings_by_number(
    previous: tuple[ClassSettings, ...], current: Mapping[int, ClassSettings]
) -> tuple[ClassSettings, ...]:
    """Class settings indexed by class number.

    A number without a class keeps its previous settings, which requests that are still open run under.
    """
    size = max(len(previous), *(number + 1 for number in current))
    return tuple(current[number] if number in current else previous[number] for number in range(size))
