"""Client of a daemon's admin socket: sends commands and reads replies, as lines of JSON.

A command that the daemon rejects raises CommandRefusedError, every other failure DaemonUnreachableError; the
text is one line with the reason.
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

REPLY_TIMEOUT_S = 5.0  # longest wait for the next input
MAX_REPLY_BYTES = 1 << 20  # longest line of a reply


class DaemonUnreachableError(Exception):
    """No daemon answers on the admin socket."""


class CommandRefusedError(Exception):
    """The daemon rejected the command; the text is the reason that it gives."""


def socket_path(explicit_path: str | None, operator_file: str | None) -> str:
    """Returns the path of the admin socket.

    explicit_path: from the command line or SPANWING_ADMIN. Without it, the path is read from the [admin]
    table of the operator's file; raises DaemonUnreachableError if that names none.
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


def stream_replies(path: str, **command: Any) -> Iterator[dict[str, Any]]:
    """Sends one command to the socket at path, and yields the replies as they arrive."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as admin_socket:
            admin_socket.settimeout(REPLY_TIMEOUT_S)
            admin_socket.connect(path)
            admin_socket.sendall(json.dumps(command).encode() + b"\n")
            with admin_socket.makefile("rb") as file:
                while line := file.readline(MAX_REPLY_BYTES):
                    reply = json.loads(line)
                    if not reply.pop("ok"):
                        raise CommandRefusedError(reply["error"])
                    yield reply
    except (OSError, ValueError) as error:
        raise DaemonUnreachableError(f"{path}: {getattr(error, 'strerror', None) or error}") from None


def send_command(path: str, **command: Any) -> dict[str, Any]:
    """Sends one command to the socket at path, and returns the first reply."""
    for reply in stream_replies(path, **command):
        return reply
    raise DaemonUnreachableError(f"{path}: the connection was closed without a reply")
