"""Assigns numbers to request classes and keeps them stable across configuration reloads."""

from collections.abc import Collection, Iterable, Mapping

from query_gateway.model.settings import ClassSettings


def assign_class_numbers(
    names: Iterable[str], current: Mapping[str, int], in_use: Collection[int]
) -> dict[str, int]:
    """Map each class name to a number; `in_use` are the numbers of open requests and accepted classes.

    A name that is in `current` keeps its number. Every other name gets the lowest number that is neither
    assigned to a class nor in use.
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
    """The class settings indexed by class number.

    A number that is not in `current` keeps its previous settings: requests of a retired class use them.
    """
    size = max(len(previous), *(number + 1 for number in current))
    return tuple(current[number] if number in current else previous[number] for number in range(size))
