"""The limits on results, and the validation of their pages."""

MAX_PAGES = 64
MAX_PAGE_BYTES = 6_000
MAX_RESULT_BYTES = 48_000
COLUMNS = 3
COLUMN_SEPARATOR = "\t"
ROW_END = "\n"


def is_valid_page(page: bytes) -> bool:
    """Whether a page is within its size limit and consists of complete rows of `COLUMNS` columns in UTF-8."""
    if len(page) > MAX_PAGE_BYTES or (page and not page.endswith(ROW_END.encode())):
        return False
    try:
        lines = page.decode().split(ROW_END)[:-1]
    except UnicodeDecodeError:
        return False
    return all(line.count(COLUMN_SEPARATOR) == COLUMNS - 1 for line in lines)
