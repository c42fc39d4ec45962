"""How often something was seen lately: a count-min sketch of small counters that halve as they fill."""


class CountMin:
    """Four rows of one-byte counters up to 15; after `sample` additions every counter is halved.

    Takes 4 bytes a slot, however many things it counts. An estimate is never too low but for the halving.
    Keys are digests, whose bytes are evenly spread already, so they serve as the rows' hashes.
    """

    TOP = 15
    _halved = bytes(n >> 1 for n in range(256))

    def __init__(self, room: int) -> None:
        self.width = 1 << max(4, (room - 1).bit_length())
        self.mask = self.width - 1
        self.rows = [bytearray(self.width) for _ in range(4)]
        self.sample = 10 * room
        self.added = 0

    def add(self, digest: bytes) -> None:
        mask = self.mask
        spread = int.from_bytes(digest, "little")
        a, b, c, d = self.rows
        i, j, k, m = spread & mask, (spread >> 32) & mask, (spread >> 64) & mask, (spread >> 96) & mask
        least = min(a[i], b[j], c[k], d[m])
        if least < self.TOP:  # only the least are raised, so that others' counts are spoilt less
            if a[i] == least:
                a[i] += 1
            if b[j] == least:
                b[j] += 1
            if c[k] == least:
                c[k] += 1
            if d[m] == least:
                d[m] += 1
        self.added += 1
        if self.added >= self.sample:
            self.added >>= 1
            self.rows = [row.translate(self._halved) for row in self.rows]

    def count(self, digest: bytes) -> int:
        mask = self.mask
        spread = int.from_bytes(digest, "little")
        a, b, c, d = self.rows
        return min(
            a[spread & mask], b[(spread >> 32) & mask], c[(spread >> 64) & mask], d[(spread >> 96) & mask]
        )
