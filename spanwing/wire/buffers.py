"""Read buffers of one size, used again."""

from __future__ import annotations

SIZE = 8192
KEPT = 256  # spare ones at most
SINK = 65536


class BufferPool:
    """Hands out buffers; whoever takes one gives it back."""

    def __init__(self) -> None:
        self.spare: list[bytearray] = []
        self.sink = bytearray(SINK)  # one for all, for bytes that nobody will look at

    def take(self) -> bytearray:
        return self.spare.pop() if self.spare else bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        if len(self.spare) < KEPT:
            self.spare.append(buffer)
