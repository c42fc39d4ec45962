"""A count-min sketch: how often a key was seen lately, in small counters that are halved regularly."""

ROWS = 4
MAX_COUNT = 15  # of a counter
SAMPLE_PER_ITEM = 10  # additions for each item of the capacity, after which every counter is halved


class CountMin:
    """Four rows of one-byte counters up to MAX_COUNT, halved after `halving_threshold` additions.

    Takes 4 bytes for each slot, however many keys it counts. Apart from the halving an estimate is never too
    low. Keys are digests of 16 bytes, which are evenly spread already, so their parts serve as the rows'
    hashes.
    """

    _halved = bytes(count >> 1 for count in range(256))

    def __init__(self, capacity: int) -> None:
        """`capacity`: how many different keys are expected."""
        self.width = 1 << max(4, (capacity - 1).bit_length())
        self.mask = self.width - 1
        self.rows = [bytearray(self.width) for _ in range(ROWS)]
        self.halving_threshold = SAMPLE_PER_ITEM * capacity
        self.added = 0

    def add(self, key: bytes) -> None:
        """Count the key once more. The loop over the rows is unrolled, as this runs for every statement."""
        mask = self.mask
        bits = int.from_bytes(key, "little")
        row0, row1, row2, row3 = self.rows
        slot0, slot1 = bits & mask, (bits >> 32) & mask
        slot2, slot3 = (bits >> 64) & mask, (bits >> 96) & mask
        least = min(row0[slot0], row1[slot1], row2[slot2], row3[slot3])
        if least < MAX_COUNT:  # raising only the lowest counters distorts the counts of other keys less
            if row0[slot0] == least:
                row0[slot0] += 1
            if row1[slot1] == least:
                row1[slot1] += 1
            if row2[slot2] == least:
                row2[slot2] += 1
            if row3[slot3] == least:
                row3[slot3] += 1
        self.added += 1
        if self.added >= self.halving_threshold:
            self.added >>= 1
            self.rows = [row.translate(self._halved) for row in self.rows]

    def count(self, key: bytes) -> int:
        """How often the key was seen lately, MAX_COUNT at most."""
        mask = self.mask
        bits = int.from_bytes(key, "little")
        row0, row1, row2, row3 = self.rows
        return min(
            row0[bits & mask], row1[(bits >> 32) & mask], row2[(bits >> 64) & mask], row3[(bits >> 96) & mask]
        )  # fmt: skip
