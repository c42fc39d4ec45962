"""Load placement: which engines take the loads of a table group; all gateways choose the same ones.

Loads, which are the queries of classes with `locks_tables`, lock tables, and readers wait for the locks.
Gateways do not know of each other's loads. A hash of the engine's name and the table group sends the loads of
all gateways to the same engines, one in `LOAD_ENGINES`; readers prefer the other engines (`routing`).
"""

from typing import Final
from zlib import crc32

from query_gateway.model.records import EngineState

LOAD_ENGINES: Final = 3  # one in this many engines takes the loads of a table group
REMEMBERED_TABLE_GROUPS: Final = 4096  # per engine; bounds the memory of the cached results


def takes_loads(engine: EngineState, table_group: float) -> bool:
    """Whether an engine takes the loads of a table group."""
    takes = engine.takes_loads_of.get(table_group)
    if takes is None:
        takes = crc32(f"{engine.info.name} {table_group}".encode()) % LOAD_ENGINES == 0
        if len(engine.takes_loads_of) < REMEMBERED_TABLE_GROUPS:
            engine.takes_loads_of[table_group] = takes
    return takes
