"""The statements that clients send; some have a shape that no gateway has parsed yet."""

import random

TABLES = 8
NEW_SHAPE_SHARE, NEW_SHAPES = 0.3, 1_000_000


def draw_table(source: random.Random) -> str:
    """A table of any group."""
    return f"lending_{source.randrange(TABLES)}.loans"


def draw_column(source: random.Random) -> str:
    """A column; its name is part of a statement's shape."""
    is_new = source.random() < NEW_SHAPE_SHARE
    return f"a{source.randrange(NEW_SHAPES)}" if is_new else "a"
