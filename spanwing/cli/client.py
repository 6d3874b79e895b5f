"""Speaks to a daemon's admin socket.

Guarantees: a reply within WAIT_S or a Refused or Unreachable that says in one line what is wrong.
"""

from __future__ import annotations

import json
import os
import socket
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from spanwing.frontsfile import FILE

WAIT_S = 5.0
LONGEST = 1 << 20


class Unreachable(Exception):
    """No daemon answers there."""


class Refused(Exception):
    """The daemon answered that it will not, and why."""


def socket_path(given: str | None, fronts: str | None) -> str:
    """From the flag, else SPANWING_ADMIN (click reads both), else the fronts file's admin.socket."""
    if given:
        return given
    file = Path(fronts or os.environ.get("SPANWING_FRONTS") or FILE)
    try:
        table = tomllib.loads(file.read_text()).get("admin", {})
    except (OSError, ValueError) as error:
        raise Unreachable(f"no --socket was given, and {file} cannot be read: {error}") from None
    if not table.get("socket"):
        raise Unreachable(f"no --socket was given, and {file} has no [admin] table with a socket")
    return table["socket"]


def replies(path: str, **ask: Any) -> Iterator[dict[str, Any]]:
    """The replies to one command, as they come."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as admin:
            admin.settimeout(WAIT_S)
            admin.connect(path)
            admin.sendall(json.dumps(ask).encode() + b"\n")
            with admin.makefile("rb") as file:
                while line := file.readline(LONGEST):
                    reply = json.loads(line)
                    if not reply.pop("ok"):
                        raise Refused(reply["error"])
                    yield reply
    except (OSError, ValueError) as error:
        raise Unreachable(f"{path}: {getattr(error, 'strerror', None) or error}") from None


def ask(path: str, **what: Any) -> dict[str, Any]:
    """One command, one reply."""
    for reply in replies(path, **what):
        return reply
    raise Unreachable(f"{path}: closed without a reply")
