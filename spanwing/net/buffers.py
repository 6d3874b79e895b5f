"""A pool of reusable read buffers of BUFFER_BYTES each."""

from __future__ import annotations

from spanwing.resources.memory_account import MemoryAccount
from spanwing.resources.processor_share import ProcessorShare

BUFFER_BYTES = 8192
MAX_SPARE_BUFFERS = 256  # kept in the pool; more are left to the garbage collector
SINK_BYTES = 65536  # size of the shared buffer for discarded input


class BufferPool:
    """Hands out buffers, which the caller must release; keeps at most MAX_SPARE_BUFFERS spare ones.

    Its account, and its share of the processor, are those of all streams that use its buffers.
    """

    def __init__(self, account: MemoryAccount | None = None) -> None:
        self.account = account or MemoryAccount()
        self.processor_share = ProcessorShare()
        self.spare_buffers: list[bytearray] = []
        self.sink = bytearray(SINK_BYTES)  # shared by all readers that discard their input

    def acquire(self) -> bytearray:
        """Returns a spare buffer or a new one."""
        return self.spare_buffers.pop() if self.spare_buffers else bytearray(BUFFER_BYTES)

    def drop_spare(self) -> None:
        """Drops the spare buffers."""
        self.spare_buffers.clear()

    def release(self, buffer: bytearray) -> None:
        """Returns a buffer to the pool, or drops it if the pool is full."""
        if len(self.spare_buffers) < MAX_SPARE_BUFFERS:
            self.spare_buffers.append(buffer)
