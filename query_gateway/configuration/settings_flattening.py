"""Flattening of nested JSON, to the path=value pairs of the settings and to the key paths of a file."""

from typing import Any

# The endpoint list in the configuration. Its events differ in their keys, so `collect_key_paths` omits the
# keys of events, and a reloaded file may lack them (see `platform.check_no_key_dropped`)
ENDPOINT_LIST_KEY = "known"


def flatten_settings(value: Any, path: str = "") -> list[str]:
    """Flatten nested JSON to path=value pairs, in the format of the simulator's first message."""
    if isinstance(value, dict):
        return [
            pair
            for key, inner in value.items()
            for pair in flatten_settings(inner, f"{path}.{key}" if path else str(key))
        ]
    if isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        pairs = [f"{path}.count={len(value)}"]
        for index, inner in enumerate(value):
            pairs += flatten_settings(inner, f"{path}.{index}")
        return pairs
    if isinstance(value, list):
        return [f"{path}={','.join(_format_scalar(inner) for inner in value)}"]
    return [f"{path}={_format_scalar(value)}"]


def _format_scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return "-"
    return str(value).replace(" ", "_").replace(",", "_")


def collect_key_paths(value: Any, path: str = "") -> frozenset[str]:
    """The paths of all keys, except those of the events in the endpoint list.

    Of a list of objects, the keys that all of its objects have in common are included.
    """
    if isinstance(value, dict):
        by_path = {f"{path}.{key}" if path else str(key): inner for key, inner in value.items()}
        nested = (
            collect_key_paths(inner, inner_path)
            for inner_path, inner in by_path.items()
            if not inner_path.startswith(f"{ENDPOINT_LIST_KEY}.")
        )
        return frozenset(by_path).union(*nested)
    if isinstance(value, list) and value and all(isinstance(inner, dict) for inner in value):
        paths_of_each = [collect_key_paths(inner, f"{path}[]") for inner in value]
        return paths_of_each[0].intersection(*paths_of_each[1:])
    return frozenset()
