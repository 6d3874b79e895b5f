"""The simulator's protocol on standard input and output, with one Scheduler for each node.

Each line is a JSON array that begins with the name of a message. A batch is Sync with the clock, messages
and Go; it is answered by the actions of its messages and Eor. All decisions are the decision module's.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO

import msgspec

from spanwing import interface as api
from spanwing.scheduler import Scheduler
from spanwing.settings import PlatformSettings, scheduler_settings

RESULTS_BY_WIRE_NAME: dict[str, api.Result] = {
    "OK": "ok",
    "INTERNAL": "error",
    "RESOURCE_EXHAUSTED": "full",
    "DEADLINE_EXCEEDED": "timeout",
    "UNAVAILABLE": "unreachable",
    "ABORTED": "reset",
    "CANCELLED": "cancelled",
    "TOO_LATE": "moot",
}
PHASES_BY_WIRE_NAME: dict[str, api.State] = {
    "healthy": "healthy",
    "cordoned": "draining",
    "deregistered": "gone",
}
SCOPES_BY_WIRE_NAME = {
    "Complete": "complete",
    "Partial": "partial",
    "Persisted": "persisted",
    "Error": "error",
}


class FrameError(Exception):
    """An input line that is no message, or is out of place."""


def _decode_report(values: list[float] | None) -> tuple[float, ...] | None:
    return None if values is None else tuple(values)


def _decode_membership(
    _: str, scope: str, version: int, rows: list[list] | None = None, *rest: Any
) -> api.Event:
    workers = tuple(
        api.Worker(
            id=each[6],
            state=PHASES_BY_WIRE_NAME[each[0]],
            zone=each[1] or "",
            cell=each[2] or 0,
            weight=1.0 if each[3] is None else each[3],
            kind=each[4] or "",
            started=each[5] or 0.0,
        )
        for each in rows or ()
    )
    return api.WorkerList(SCOPES_BY_WIRE_NAME[scope], workers)


def _decode_submit(
    _: str,
    request_id: str,
    memory: Any,
    slots: Any,
    hint: Any,
    class_name: str,
    is_write: Any,
    is_repeat: Any,
    tenant: Any,
    deadline: float,
    key: Any = None,
    retry: Any = False,
    *rest: Any,
) -> api.Event:
    return api.Request(
        request_id,
        class_name,
        deadline,
        tenant or None,
        int(slots or 1),
        memory or 0.0,
        hint or 0.0,
        key or None,
        bool(retry),
    )


def _decode_returned(
    _: str,
    request_id: str,
    elapsed: float,
    detail: Any,
    attempt: int,
    worker: int,
    result_name: str,
    complete: bool,
    report: Any = None,
    *rest: Any,
) -> api.Event:
    return api.Outcome(
        request_id,
        attempt,
        worker,
        RESULTS_BY_WIRE_NAME[result_name],
        bool(complete),
        elapsed,
        _decode_report(report),
    )


def _decode_pong(
    _: str, result_name: str, elapsed: float, worker: int, report: Any = None, *rest: Any
) -> api.Event:
    return api.ProbeResult(worker, RESULTS_BY_WIRE_NAME[result_name], elapsed, _decode_report(report))


EVENT_DECODERS: dict[str, Callable[..., api.Event]] = {
    "Membership": _decode_membership,
    "Submit": _decode_submit,
    "Returned": _decode_returned,
    "Pong": _decode_pong,
    "Datagram": lambda _, node, payload="", *rest: api.PeerMessage(node, payload),
    "Wakeup": lambda _, token, *rest: api.TimerDue(token),
    "AckFirst": lambda _, request_id, attempt, worker, *rest: api.StreamStarted(request_id, attempt, worker),
    "ClientLeft": lambda _, request_id, *rest: api.ClientGone(request_id),
    "StatusNote": lambda _, request_id, attempt, worker, topic, *rest: api.ProgressReport(
        request_id, attempt, worker, topic == 1
    ),
}

ACTION_ENCODERS: dict[type, Callable[[str, Any], list]] = {
    api.Send: lambda node, action: ["CallOut", node, action.request, action.worker, action.timeout],
    api.Cancel: lambda node, action: ["CallOff", node, action.request, action.attempt],
    api.Reject: lambda node, action: ["Deny", node, action.request, action.retry_after],
    api.Fail: lambda node, action: ["EndFailed", node, action.request],
    api.SetTimer: lambda node, action: ["SetTimer", node, action.delay, action.token],
    api.Probe: lambda node, action: ["Poll", node, action.worker],
    api.BroadcastToPeers: lambda node, action: ["WritePeer", node, "all", action.payload],
    api.Watch: lambda node, action: ["Observe", node, True],
    api.Log: lambda node, action: ["Record", node, action.line],
}


class AdapterSession:
    """The schedulers of the nodes hosted by this process, and the batch being read."""

    def __init__(self) -> None:
        self.schedulers: dict[str, Scheduler] = {}
        self.now_ms: float | None = None
        self.reply_lines: list[bytes] = []

    def handle_line(self, line: bytes) -> bytes | None:
        """Handles one input line; returns the whole reply at the end of a batch, else None.

        Raises FrameError if the line is no message, is malformed, or is out of place.
        """
        try:
            message = msgspec.json.decode(line)
            name = message[0]
        except (ValueError, LookupError, TypeError):
            raise FrameError("the line is not a JSON array that begins with the name of a message") from None
        if name == "Sync":
            if self.now_ms is not None:
                raise FrameError("Sync within a batch: Go is missing")
            if len(message) < 2 or not isinstance(message[1], (int, float)):
                raise FrameError("malformed Sync: no numeric clock value")
            self.now_ms, self.reply_lines = message[1], []
        elif self.now_ms is None:
            raise FrameError(f"{name} outside a batch: Sync is missing")
        elif name == "Go":
            reply, self.now_ms = self.reply_lines, None
            return b"\n".join([*reply, b'["Eor"]', b""])
        else:
            self._handle_message(name, message)
        return None

    def _handle_message(self, name: str, message: list) -> None:
        if name == "CrashNow" and len(message) > 1:
            self.schedulers.pop(message[1], None)
        elif name == "Init" and len(message) > 3:
            node_name, seed, options = message[1:4]
            now_ms = self.now_ms

            def create_scheduler() -> None:
                self.schedulers[node_name] = Scheduler(
                    scheduler_settings(msgspec.convert(options, PlatformSettings)), seed, now_ms
                )

            self._run_guarded(node_name, create_scheduler)
        elif name in EVENT_DECODERS:
            try:
                event = EVENT_DECODERS[name](*message[1:])
                scheduler = self.schedulers.get(message[1])
            except (TypeError, LookupError, ValueError) as error:
                raise FrameError(f"malformed {name}: {error}") from None
            if scheduler is not None:
                self._run_guarded(message[1], lambda: scheduler.handle(self.now_ms, event))
        elif name in ("CrashNow", "Init"):
            raise FrameError(f"malformed {name}: too few fields")

    def _run_guarded(self, node_name: str, decide: Callable[[], list[api.Action] | None]) -> None:
        """Runs decide() and encodes its actions.

        An exception is reported to the simulator as Die with its text; its traceback goes to stderr.
        """
        try:
            for action in decide() or ():
                self.reply_lines.append(msgspec.json.encode(ACTION_ENCODERS[type(action)](node_name, action)))
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self.reply_lines.append(
                msgspec.json.encode(["Die", node_name, f"{type(error).__name__}: {error}"])
            )


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Serves the protocol until the input ends.

    Returns the exit status: 0, or 2 after a FrameError, which is printed to stderr with its line number.
    """
    session = AdapterSession()
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = session.handle_line(line)
        except FrameError as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 2
        if reply is not None:
            sink.write(reply)
            sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
