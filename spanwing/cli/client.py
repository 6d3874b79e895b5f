"""Client of a daemon's admin socket.

Waits at most REPLY_TIMEOUT_S for input, and reads at most MAX_REPLY_BYTES for a reply. A failure raises
CommandRefusedError (rejected by the daemon) or DaemonUnreachableError, with the reason in one line.
"""

from __future__ import annotations

import json
import os
import socket
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from spanwing.operator_file import DEFAULT_OPERATOR_FILE

REPLY_TIMEOUT_S = 5.0
MAX_REPLY_BYTES = 1 << 20


class DaemonUnreachableError(Exception):
    """No daemon answers at this socket."""


class CommandRefusedError(Exception):
    """The daemon rejected the command; the text is its reason."""


def socket_path(explicit_path: str | None, operator_file: str | None) -> str:
    """Returns the socket from the flag or SPANWING_ADMIN (click reads both), else from the fronts file.

    Raises DaemonUnreachableError if the fronts file names none.
    """
    if explicit_path:
        return explicit_path
    file = Path(operator_file or os.environ.get("SPANWING_FRONTS") or DEFAULT_OPERATOR_FILE)
    try:
        table = tomllib.loads(file.read_text()).get("admin", {})
    except (OSError, ValueError) as error:
        raise DaemonUnreachableError(f"no --socket was given, and {file} cannot be read: {error}") from None
    if not table.get("socket"):
        raise DaemonUnreachableError(f"no --socket was given, and {file} has no [admin] table with a socket")
    return table["socket"]


def stream_replies(path: str, **ask: Any) -> Iterator[dict[str, Any]]:
    """Yields the replies to one command as they arrive."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as admin_socket:
            admin_socket.settimeout(REPLY_TIMEOUT_S)
            admin_socket.connect(path)
            admin_socket.sendall(json.dumps(ask).encode() + b"\n")
            with admin_socket.makefile("rb") as file:
                while line := file.readline(MAX_REPLY_BYTES):
                    reply = json.loads(line)
                    if not reply.pop("ok"):
                        raise CommandRefusedError(reply["error"])
                    yield reply
    except (OSError, ValueError) as error:
        raise DaemonUnreachableError(f"{path}: {getattr(error, 'strerror', None) or error}") from None


def send_command(path: str, **what: Any) -> dict[str, Any]:
    """Sends one command and returns its one reply."""
    for reply in stream_replies(path, **what):
        return reply
    raise DaemonUnreachableError(f"{path}: closed without a reply")
