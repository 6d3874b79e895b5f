"""Reusable read buffers of one size (BUFFER_BYTES)."""

from __future__ import annotations

BUFFER_BYTES = 8192
MAX_SPARE_BUFFERS = 256  # pooled spare buffers at most
SINK_BYTES = 65536


class BufferPool:
    """Hands out buffers, which the borrower must release; at most MAX_SPARE_BUFFERS are pooled."""

    def __init__(self) -> None:
        self.spare_buffers: list[bytearray] = []
        self.sink = bytearray(SINK_BYTES)  # shared; for bytes that are discarded

    def acquire(self) -> bytearray:
        """Returns a spare buffer or a new one."""
        return self.spare_buffers.pop() if self.spare_buffers else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Takes a buffer back; drops it if enough are spare."""
        if len(self.spare_buffers) < MAX_SPARE_BUFFERS:
            self.spare_buffers.append(buffer)
