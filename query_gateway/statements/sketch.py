"""Count-min sketch with periodic halving: estimates how often a key was seen recently."""

ROWS = 4
MAX_COUNT = 15  # of a counter
HALVING_THRESHOLD_PER_ITEM = 10  # additions per item of the capacity at which all counters are halved


class CountMin:
    """Four rows of one-byte counters up to MAX_COUNT.

    All counters are halved when `additions`, which is halved with them, reaches `halving_threshold`. Uses 4
    bytes per slot, whatever the number of keys. Up to MAX_COUNT and apart from the effect of halving, an
    estimate is never too low. Keys are 16-byte digests, which are uniformly distributed, so their four 32-bit
    parts serve as the hashes of the rows.
    """

    _halving_table = bytes(count >> 1 for count in range(256))

    def __init__(self, capacity: int) -> None:
        """`capacity`: expected number of distinct keys."""
        self.width = 1 << max(4, (capacity - 1).bit_length())
        self.mask = self.width - 1
        self.rows = [bytearray(self.width) for _ in range(ROWS)]
        self.halving_threshold = HALVING_THRESHOLD_PER_ITEM * capacity
        self.additions = 0

    def add(self, key: bytes) -> None:
        """Increment the count of a key. The loop over rows is unrolled because every statement runs it."""
        mask = self.mask
        bits = int.from_bytes(key, "little")
        row0, row1, row2, row3 = self.rows
        slot0, slot1 = bits & mask, (bits >> 32) & mask
        slot2, slot3 = (bits >> 64) & mask, (bits >> 96) & mask
        lowest = min(row0[slot0], row1[slot1], row2[slot2], row3[slot3])
        if lowest < MAX_COUNT:  # raising only the lowest counters distorts the counts of other keys less
            if row0[slot0] == lowest:
                row0[slot0] += 1
            if row1[slot1] == lowest:
                row1[slot1] += 1
            if row2[slot2] == lowest:
                row2[slot2] += 1
            if row3[slot3] == lowest:
                row3[slot3] += 1
        self.additions += 1
        if self.additions >= self.halving_threshold:
            self.additions >>= 1
            self.rows = [row.translate(self._halving_table) for row in self.rows]

    def count(self, key: bytes) -> int:
        """Estimate how often the key was seen recently, at most MAX_COUNT."""
        mask = self.mask
        bits = int.from_bytes(key, "little")
        row0, row1, row2, row3 = self.rows
        return min(
            row0[bits & mask], row1[(bits >> 32) & mask], row2[(bits >> 64) & mask], row3[(bits >> 96) & mask]
        )  # fmt: skip
