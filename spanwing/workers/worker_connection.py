"""The base class of worker connection actors, and the messages that all of them handle."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.core.messages import AttemptListener, DeliveryAttempt


class DeliverAttempt(NamedTuple):
    """Deliver an attempt; the listener receives its progress and its result."""

    delivery: DeliveryAttempt
    listener: AttemptListener


class CancelDelivery(NamedTuple):
    """Cancel an attempt, even if it was sent; it ends with this result."""

    request: str
    number: int
    result: api.Result


class WithdrawAttempt(NamedTuple):
    """End an attempt as "moot" unless it was sent already."""

    request: str
    number: int


class ProbeRequested(NamedTuple):
    """Request the worker's load report; the listener receives ProbeEnded."""

    worker: int  # scheduler id of the worker
    listener: AttemptListener


class WorkerConnectionActor(Actor):
    """Base class of the actors that implement WorkerConnection.

    Each call posts a message, which the actor handles in its turn; subclasses set `handlers`.
    """

    name = address = ""
    records_intent_itself = False

    handlers: ClassVar[dict[type, Any]] = {}  # by message type: the function that handles it

    def deliver(self, delivery: DeliveryAttempt, listener: AttemptListener) -> None:
        """Starts a delivery attempt; exactly one AttemptEnded follows."""
        self.post(DeliverAttempt(delivery, listener))

    def cancel(self, request: str, number: int, result: api.Result) -> None:
        """Cancels an attempt, sent or not; it ends with this result."""
        self.post(CancelDelivery(request, number, result))

    def withdraw(self, request: str, number: int) -> None:
        """Withdraws an attempt; it ends as "moot" if its last byte is unsent, and continues otherwise."""
        self.post(WithdrawAttempt(request, number))

    def probe(self, worker: int, listener: AttemptListener) -> None:
        """Requests the worker's load report; exactly one ProbeEnded follows."""
        self.post(ProbeRequested(worker, listener))

    def handle_message(self, message: Any) -> None:
        """Handles one message by the handler of its type."""
        self.handlers[type(message)](self, message)
