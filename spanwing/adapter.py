"""The simulator's wire on standard input and output: one Dispatcher a node, no decision here."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO

import msgspec

from spanwing import interface as api
from spanwing.choice import Dispatcher
from spanwing.settings import Options, settings_of

RESULTS: dict[str, api.Result] = {
    "OK": "ok",
    "INTERNAL": "error",
    "RESOURCE_EXHAUSTED": "full",
    "DEADLINE_EXCEEDED": "timeout",
    "UNAVAILABLE": "unreachable",
    "ABORTED": "reset",
    "CANCELLED": "cancelled",
    "TOO_LATE": "moot",
}
STATES: dict[str, api.State] = {"healthy": "healthy", "cordoned": "draining", "deregistered": "gone"}
SCOPES = {"Complete": "complete", "Partial": "partial", "Persisted": "persisted", "Error": "error"}


class FrameError(Exception):
    """The input breaks the framing."""


def _report(values: list[float] | None) -> tuple[float, ...] | None:
    return None if values is None else tuple(values)


def _membership(_: str, scope: str, version: int, records: list[list] | None = None, *rest: Any) -> api.Event:
    workers = tuple(
        api.Worker(
            id=each[6],
            state=STATES[each[0]],
            zone=each[1] or "",
            cell=each[2] or 0,
            weight=1.0 if each[3] is None else each[3],
            kind=each[4] or "",
            started=each[5] or 0.0,
        )
        for each in records or ()
    )
    return api.WorkerList(SCOPES[scope], workers)


def _submit(
    _: str,
    rid: str,
    memory: Any,
    slots: Any,
    hint: Any,
    cls: str,
    write: Any,
    again: Any,
    tenant: Any,
    deadline: float,
    key: Any = None,
    retry: Any = False,
    *rest: Any,
) -> api.Event:
    return api.Request(
        rid,
        cls,
        deadline,
        tenant or None,
        int(slots or 1),
        memory or 0.0,
        hint or 0.0,
        key or None,
        bool(retry),
    )


def _returned(
    _: str,
    rid: str,
    elapsed: float,
    detail: Any,
    trial: int,
    worker: int,
    how: str,
    complete: bool,
    report: Any = None,
    *rest: Any,
) -> api.Event:
    return api.Outcome(rid, trial, worker, RESULTS[how], bool(complete), elapsed, _report(report))


def _pong(_: str, how: str, elapsed: float, worker: int, report: Any = None, *rest: Any) -> api.Event:
    return api.ProbeResult(worker, RESULTS[how], elapsed, _report(report))


EVENTS: dict[str, Callable[..., api.Event]] = {
    "Membership": _membership,
    "Submit": _submit,
    "Returned": _returned,
    "Pong": _pong,
    "Datagram": lambda _, source, payload="", *rest: api.PeerMessage(source, payload),
    "Wakeup": lambda _, token, *rest: api.TimerDue(token),
    "AckFirst": lambda _, rid, trial, worker, *rest: api.StreamStarted(rid, trial, worker),
    "ClientLeft": lambda _, rid, *rest: api.ClientGone(rid),
    "StatusNote": lambda _, rid, trial, worker, topic, *rest: api.Note(rid, trial, worker, topic == 1),
}

ACTIONS: dict[type, Callable[[str, Any], list]] = {
    api.Send: lambda node, a: ["CallOut", node, a.request, a.worker, a.timeout],
    api.Cancel: lambda node, a: ["CallOff", node, a.request, a.attempt],
    api.Refuse: lambda node, a: ["Deny", node, a.request, a.retry_after],
    api.Fail: lambda node, a: ["EndFailed", node, a.request],
    api.SetTimer: lambda node, a: ["SetTimer", node, a.delay, a.token],
    api.Probe: lambda node, a: ["Poll", node, a.worker],
    api.TellPeers: lambda node, a: ["WritePeer", node, "all", a.payload],
    api.Watch: lambda node, a: ["Observe", node, True],
    api.Log: lambda node, a: ["Record", node, a.line],
}


class Session:
    """The nodes hosted by this process and the batch being read."""

    def __init__(self) -> None:
        self.nodes: dict[str, Dispatcher] = {}
        self.now: float | None = None
        self.reply: list[bytes] = []

    def feed(self, line: bytes) -> bytes | None:
        """Take one input line; at the end of a batch, return the whole reply."""
        try:
            message = msgspec.json.decode(line)
            name = message[0]
        except (ValueError, LookupError, TypeError):
            raise FrameError("not a JSON array with a name") from None
        if name == "Sync":
            if self.now is not None:
                raise FrameError("Sync inside a batch")
            if len(message) < 2 or not isinstance(message[1], (int, float)):
                raise FrameError("Sync without a clock")
            self.now, self.reply = message[1], []
        elif self.now is None:
            raise FrameError(f"{name} outside a batch")
        elif name == "Go":
            reply, self.now = self.reply, None
            return b"\n".join([*reply, b'["Eor"]', b""])
        else:
            self._event(name, message)
        return None

    def _event(self, name: str, message: list) -> None:
        if name == "CrashNow" and len(message) > 1:
            self.nodes.pop(message[1], None)
        elif name == "Init" and len(message) > 3:
            node, seed, options = message[1:4]
            now = self.now

            def start() -> None:
                self.nodes[node] = Dispatcher(settings_of(msgspec.convert(options, Options)), seed, now)

            self._guard(node, start)
        elif name in EVENTS:
            try:
                event = EVENTS[name](*message[1:])
                dispatcher = self.nodes.get(message[1])
            except (TypeError, LookupError, ValueError) as error:
                raise FrameError(f"malformed {name}: {error}") from None
            if dispatcher is not None:
                self._guard(message[1], lambda: dispatcher.handle(self.now, event))
        elif name in ("CrashNow", "Init"):
            raise FrameError(f"malformed {name}: too short")

    def _guard(self, node: str, decide: Callable[[], list[api.Action] | None]) -> None:
        """A fault in a decision ends the day with its text; it is never swallowed."""
        try:
            for action in decide() or ():
                self.reply.append(msgspec.json.encode(ACTIONS[type(action)](node, action)))
        except Exception as error:  # noqa: BLE001 - reported on the wire, with the traceback on stderr
            traceback.print_exc(file=sys.stderr)
            self.reply.append(msgspec.json.encode(["Die", node, f"{type(error).__name__}: {error}"]))


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Serve the wire until the input ends."""
    session = Session()
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = session.feed(line)
        except FrameError as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 2
        if reply is not None:
            sink.write(reply)
            sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin.buffer, sys.stdout.buffer))
