"""The workers of the endpoint list by worker id, with a connection actor for each one in use.

A large fleet lists far more workers than one scheduler sends to, so an actor is created at its first use. If
its worker leaves the list or changes its address, the actor is kept until nothing is in flight there.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping

from spanwing.discovery.call import DiscoveredWorker
from spanwing.net.address import Address, parse_address
from spanwing.workers.http_worker import HttpWorker, RetireWorker
from spanwing.workers.worker_id import worker_id_of

logger = logging.getLogger("spanwing")

WorkerFactory = Callable[[str, Address, Callable[[HttpWorker], None]], HttpWorker]


class WorkerTable(Mapping[int, HttpWorker]):
    """Maps the ids of the listed workers to their connection actors, which are created on access."""

    def __init__(self, make_worker: WorkerFactory, on_retired: Callable[[str, HttpWorker], None]) -> None:
        self.make_worker, self.on_retired = make_worker, on_retired
        self.entries: dict[str, DiscoveredWorker] = {}  # by name: the latest entry of each listed worker
        self.names: dict[int, str] = {}  # by worker id: the names of the listed workers
        self.actors: dict[str, HttpWorker] = {}  # by name: the actors created so far
        self.actor_addresses: dict[str, str] = {}  # by name: the address of each actor
        self.replaced_actors: dict[str, list[HttpWorker]] = {}  # by name: actors of former addresses

    def __getitem__(self, worker_id: int) -> HttpWorker:
        """Returns the worker's actor; raises KeyError if it is not listed or its address is invalid."""
        name = self.names[worker_id]
        actor = self.actors.get(name)
        return self._make_actor(name) if actor is None else actor

    def __contains__(self, worker_id: object) -> bool:
        return worker_id in self.names

    def __iter__(self) -> Iterator[int]:
        return iter(self.names)

    def __len__(self) -> int:
        return len(self.names)

    def get_or_create_worker(self, name: str, address: str) -> HttpWorker:
        """Returns the actor for this worker name and address.

        If none matches, for example as the worker has left the list, a new actor is created that closes once
        nothing is in flight there. Raises ValueError if the address is invalid.
        """
        entry = self.entries.get(name)
        if entry is not None and entry.host_port == address:
            return self[worker_id_of(name)]
        if self.actors.get(name) is not None and self.actor_addresses[name] == address:
            return self.actors[name]
        actor = self._new_actor(name, parse_address(address))
        if name not in self.actors:
            self.actors[name], self.actor_addresses[name] = actor, address
        actor.post(RetireWorker(True))
        return actor

    def replace(self, members: Iterable[DiscoveredWorker]) -> None:
        """Applies a complete list; workers that it does not contain are removed."""
        listed = {each.id for each in members}
        for name in [name for name in self.entries if name not in listed]:
            self._remove(name)
        self.update(members)

    def update(self, members: Iterable[DiscoveredWorker]) -> None:
        """Applies changed entries; unchanged entries are skipped."""
        for member in members:
            if self.entries.get(member.id) != member:
                self._update_entry(member)

    def _update_entry(self, member: DiscoveredWorker) -> None:
        name = member.id
        if member.phase == "left":
            self._remove(name)
            return
        self.entries[name] = member
        self.names[worker_id_of(name)] = name
        actor = self.actors.get(name)
        if actor is None:
            return
        if self.actor_addresses[name] == member.host_port:
            set_draining(actor, member.phase != "active")
            actor.post(RetireWorker(False))
            return
        self.replaced_actors.setdefault(name, []).append(actor)
        del self.actors[name], self.actor_addresses[name]
        actor.start_draining()
        actor.post(RetireWorker(True))

    def _remove(self, name: str) -> None:
        self.entries.pop(name, None)
        self.names.pop(worker_id_of(name), None)
        actor = self.actors.get(name)
        if actor is not None:
            actor.start_draining()
            actor.post(RetireWorker(True))

    def _make_actor(self, name: str) -> HttpWorker:
        entry = self.entries[name]
        try:
            address = parse_address(entry.host_port)
        except ValueError as error:
            logger.warning("ignoring a job worker with an invalid address: %s", error)
            raise KeyError(name) from None
        actor = self.actors[name] = self._new_actor(name, address)
        self.actor_addresses[name] = entry.host_port
        set_draining(actor, entry.phase != "active")
        return actor

    def _new_actor(self, name: str, address: Address) -> HttpWorker:
        return self.make_worker(name, address, lambda actor: self.on_retired(name, actor))

    def drop_retired(self, name: str, actor: HttpWorker) -> None:
        """Drops an actor that has closed, unless its worker has been listed again in the meantime."""
        replaced = self.replaced_actors.get(name, [])
        if actor in replaced:
            replaced.remove(actor)
            if not replaced:
                del self.replaced_actors[name]
        # A worker that was listed again while its actor closed keeps the actor, as its callbacks would be
        # lost otherwise.
        if self.actors.get(name) is actor and name not in self.entries:
            del self.actors[name], self.actor_addresses[name]

    def actor_with_attempt(self, name: str, request: str) -> HttpWorker | None:
        """Returns the named worker's actor that has an attempt of this request in flight, or None.

        Actors of the worker's former addresses are searched too: an attempt that was accepted at a former
        address also ends with a call-back.
        """
        candidates = (self.actors.get(name), *self.replaced_actors.get(name, ()))
        return next((each for each in candidates if each is not None and request in each.attempts), None)


def set_draining(actor: HttpWorker, is_draining: bool) -> None:
    """Sets whether the actor's worker is draining."""
    if is_draining:
        actor.start_draining()
    else:
        actor.is_draining = False
