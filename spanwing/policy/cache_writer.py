"""Writes a scheduler's policy cache in a thread, one step at a time, so that no request waits for the disk.

While a change is closing, the cached permit is withdrawn, and only then may the closing be acknowledged: the
leader no longer waits for a scheduler that has acknowledged it. A later start without the store would accept
requests by a permit that was left, under a version that the fleet may have replaced.
"""

from __future__ import annotations

from collections.abc import Callable

from tornado.concurrent import Future
from tornado.ioloop import IOLoop

from spanwing.log import log_event
from spanwing.policy.policy_cache import PolicyCache
from spanwing.policy.records import PolicyVersion

NOT_CLOSING = 0  # in place of the revision of a closing change


class PolicyCacheWriter:
    """Stores versions and permits in the cache, and withdraws the permit while a change is closing.

    Bounds: one step in the thread, and one step due after it.
    """

    def __init__(self, cache: PolicyCache, on_withdrawn: Callable[[], None]) -> None:
        """on_withdrawn is called once the permit is withdrawn, when the closing may be acknowledged."""
        self.cache, self.on_withdrawn = cache, on_withdrawn
        self.is_writing = False
        self.closing_revision = NOT_CLOSING  # the document's revision that closed the change
        self.withdrawn_revision = NOT_CLOSING  # the last closing_revision for which the permit was withdrawn

    def store(self, version: PolicyVersion, expires_at_ms: float) -> bool:
        """Begins to store a version and its permit; returns False if the cache cannot be written now."""
        if self.is_writing or self.closing_revision != NOT_CLOSING:
            return False
        self._begin_step(lambda: self._store(version, expires_at_ms), lambda: None)
        return True

    def update_closing(self, closing_revision: int) -> None:
        """Takes over the revision that closed the change under way, or NOT_CLOSING."""
        self.closing_revision = closing_revision
        self.withdraw_if_due()

    def withdraw_if_due(self) -> None:
        """Begins to withdraw the permit if a change is closing; also called to repeat a failed withdrawal."""
        revision = self.closing_revision
        if not self.is_writing and self._is_withdrawal_due():
            self._begin_step(self.cache.remove_permit, lambda: self._handle_withdrawn(revision))

    def acknowledgeable(self, revision: int) -> int:
        """Returns up to which revision the document may be acknowledged; revision: that of the copy."""
        return min(revision, self.closing_revision - 1) if self._is_withdrawal_due() else revision

    def _is_withdrawal_due(self) -> bool:
        return self.closing_revision not in (NOT_CLOSING, self.withdrawn_revision)

    def _store(self, version: PolicyVersion, expires_at_ms: float) -> None:
        self.cache.store_version(version)
        self.cache.store_permit(version.number, expires_at_ms)

    def _handle_withdrawn(self, revision: int) -> None:
        self.withdrawn_revision = revision
        self.on_withdrawn()

    def _begin_step(self, step: Callable[[], None], on_done: Callable[[], None]) -> None:
        """Runs a step in the thread, then calls on_done on the event loop unless the step failed."""
        self.is_writing, loop = True, IOLoop.current()
        loop.add_future(
            loop.run_in_executor(None, step), lambda finished: self._handle_step(finished, on_done)
        )

    def _handle_step(self, finished: Future[None], on_done: Callable[[], None]) -> None:
        self.is_writing = False
        error = finished.exception()
        if error is None:
            on_done()
        elif isinstance(error, OSError):
            log_event("policy_kept", level="error", reason=f"{self.cache.folder}: {error.strerror}")
        else:
            raise error
        if error is None:  # a failed step is repeated by the next call
            self.withdraw_if_due()
