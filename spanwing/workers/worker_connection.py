"""What the actors of all job workers take from the core, however the worker is reached."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.core.messages import AttemptListener, DeliveryAttempt


class DeliverAttempt(NamedTuple):
    delivery: DeliveryAttempt
    listener: AttemptListener


class CancelDelivery(NamedTuple):
    request: str
    number: int
    result: api.Result


class WithdrawAttempt(NamedTuple):
    request: str
    number: int


class ProbeRequested(NamedTuple):
    worker: int
    listener: AttemptListener


class WorkerConnectionActor(Actor):
    """The core's side of a next hop: every call is a message."""

    name = address = ""
    records_intent_itself = False

    handlers: ClassVar[dict[type, Any]] = {}

    def deliver(self, delivery: DeliveryAttempt, listener: AttemptListener) -> None:
        self.post(DeliverAttempt(delivery, listener))

    def cancel(self, request: str, number: int, result: api.Result) -> None:
        self.post(CancelDelivery(request, number, result))

    def withdraw(self, request: str, number: int) -> None:
        self.post(WithdrawAttempt(request, number))

    def probe(self, worker: int, listener: AttemptListener) -> None:
        self.post(ProbeRequested(worker, listener))

    def handle_message(self, message: Any) -> None:
        self.handlers[type(message)](self, message)
