"""Load placement: which engines take the loads of a table group, the same ones at all gateways.

Loads lock tables, and readers wait for them. No gateway knows of another's loads. Placed by a hash of the
engine's name and the table group, the loads of all gateways go to the same engines, one in `LOAD_ENGINES`,
and readers prefer the other engines (`routing`).
"""

from typing import Final
from zlib import crc32

from query_gateway.model.records import EngineState

LOAD_ENGINES: Final = 3  # one in so many of the engines takes the loads of a table group
REMEMBERED_TABLE_GROUPS: Final = 4096  # for each engine; bounds the memory


def takes_loads(engine: EngineState, table_group: float) -> bool:
    """Whether an engine is among those for the loads of a table group."""
    takes = engine.takes_loads_of.get(table_group)
    if takes is None:
        takes = crc32(f"{engine.info.name} {table_group}".encode()) % LOAD_ENGINES == 0
        if len(engine.takes_loads_of) < REMEMBERED_TABLE_GROUPS:
            engine.takes_loads_of[table_group] = takes
    return takes
