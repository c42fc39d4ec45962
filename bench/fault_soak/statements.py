"""Parts of the statements that clients send; some give a statement a shape that no gateway has parsed yet."""

import random

TABLES = 8
NEW_SHAPE_SHARE, NEW_SHAPES = 0.3, 1_000_000


def draw_table(random_source: random.Random) -> str:
    """A random table name; tables belong to different table groups."""
    return f"lending_{random_source.randrange(TABLES)}.loans"


def draw_column(random_source: random.Random) -> str:
    """A column name, which is part of the statement's shape: `a`, or a random one that is probably new."""
    is_new = random_source.random() < NEW_SHAPE_SHARE
    return f"a{random_source.randrange(NEW_SHAPES)}" if is_new else "a"
