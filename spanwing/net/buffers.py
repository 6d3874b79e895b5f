"""Read buffers of one size, used again."""

from __future__ import annotations

BUFFER_BYTES = 8192
MAX_SPARE_BUFFERS = 256  # spare ones at most
SINK_BYTES = 65536


class BufferPool:
    """Hands out buffers; whoever takes one gives it back."""

    def __init__(self) -> None:
        self.spare_buffers: list[bytearray] = []
        self.sink = bytearray(SINK_BYTES)  # one for all, for bytes that nobody will look at

    def acquire(self) -> bytearray:
        return self.spare_buffers.pop() if self.spare_buffers else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        if len(self.spare_buffers) < MAX_SPARE_BUFFERS:
            self.spare_buffers.append(buffer)
