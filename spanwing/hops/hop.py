"""What the actors of all job workers take from the core, however the worker is reached."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.core.messages import Delivery, Listener


class Deliver(NamedTuple):
    delivery: Delivery
    listener: Listener


class GiveUp(NamedTuple):
    request: str
    number: int
    result: api.Result


class Withdraw(NamedTuple):
    request: str
    number: int


class Probe(NamedTuple):
    worker: int
    listener: Listener


class HopActor(Actor):
    """The core's side of a next hop: every call is a message."""

    name = place = ""
    asks = False

    handlers: ClassVar[dict[type, Any]] = {}

    def deliver(self, delivery: Delivery, listener: Listener) -> None:
        self.post(Deliver(delivery, listener))

    def give_up(self, request: str, number: int, result: api.Result) -> None:
        self.post(GiveUp(request, number, result))

    def withdraw(self, request: str, number: int) -> None:
        self.post(Withdraw(request, number))

    def probe(self, worker: int, listener: Listener) -> None:
        self.post(Probe(worker, listener))

    def take(self, message: Any) -> None:
        self.handlers[type(message)](self, message)
