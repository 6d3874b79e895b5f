"""Finds free ports for processes that have to know each other's addresses before they start."""

from __future__ import annotations

import random
import socket

HOST = "127.0.0.1"
PORT_RANGE = (20_000, 32_000)  # outside the kernel's range of ephemeral ports


def free_ports(count: int) -> list[int]:
    """Returns different ports that are free at present."""
    random_source, sockets = random.SystemRandom(), []
    while len(sockets) < count:
        try:
            sockets.append(socket.create_server((HOST, random_source.randrange(*PORT_RANGE))))
        except OSError:
            continue  # the port is in use
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
