"""What counts as a valid result: its pages, rows and columns."""

MAX_PAGES = 64
MAX_PAGE_BYTES = 6_000
MAX_RESULT_BYTES = 48_000
COLUMNS = 3
COLUMN_SEPARATOR = "\t"
ROW_END = "\n"


def is_valid_page(page: bytes) -> bool:
    """Whether a page is complete rows of text with the right number of columns, and not too large."""
    if len(page) > MAX_PAGE_BYTES or (page and not page.endswith(ROW_END.encode())):
        return False
    try:
        lines = page.decode().split(ROW_END)[:-1]
    except UnicodeDecodeError:
        return False
    return all(line.count(COLUMN_SEPARATOR) == COLUMNS - 1 for line in lines)
