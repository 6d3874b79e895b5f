"""Messages and base class that the actors of all workers share, however the worker is reached."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.core.messages import AttemptListener, DeliveryAttempt


class DeliverAttempt(NamedTuple):
    """Deliver the attempt; its progress and its end go to the listener."""

    delivery: DeliveryAttempt
    listener: AttemptListener


class CancelDelivery(NamedTuple):
    """Stop the attempt, even if it was sent; it ends with this result."""

    request: str
    number: int
    result: api.Result


class WithdrawAttempt(NamedTuple):
    """End the attempt as "moot" unless it was sent already."""

    request: str
    number: int


class ProbeRequested(NamedTuple):
    """Read the worker's load report; the result goes to the listener."""

    worker: int
    listener: AttemptListener


class WorkerConnectionActor(Actor):
    """Base of the actors that connect the core to a worker; every call is a message."""

    name = address = ""
    records_intent_itself = False

    handlers: ClassVar[dict[type, Any]] = {}

    def deliver(self, delivery: DeliveryAttempt, listener: AttemptListener) -> None:
        """Starts a delivery attempt; exactly one AttemptEnded follows."""
        self.post(DeliverAttempt(delivery, listener))

    def cancel(self, request: str, number: int, result: api.Result) -> None:
        """Cancels an attempt, sent or not, with this result."""
        self.post(CancelDelivery(request, number, result))

    def withdraw(self, request: str, number: int) -> None:
        """Withdraws an attempt that has not been sent yet."""
        self.post(WithdrawAttempt(request, number))

    def probe(self, worker: int, listener: AttemptListener) -> None:
        """Requests the worker's load report; ProbeEnded follows."""
        self.post(ProbeRequested(worker, listener))

    def handle_message(self, message: Any) -> None:
        """Runs the handler of the message's type."""
        self.handlers[type(message)](self, message)
