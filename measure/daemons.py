"""Starts real daemons for measurements and tests, each with its files in a temporary folder."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from spanwing.cli import client

ROOT = Path(__file__).parent.parent
STATE_TIMEOUT_S = 20.0
ALL_FRONTS = ("health", "agent_check", "feedback", "grpc", "faktory")
HostPort = tuple[str, int]
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def settings(classes: list[dict[str, Any]] | None = None, **more: Any) -> dict[str, Any]:
    """Returns the settings of one scheduler, by default with three service classes: safe, unsafe and keyed.

    Further keyword arguments add settings or replace them.
    """
    return {
        "areas": ["a"],
        "balancers": 1,
        "position": 0,
        "zone": "a",
        "kinds": ["big"],
        "tick_ms": 4.0,
        "classes": classes
        or [
            {"name": "status-read", "aim_ms": 850.0, "deadline_ms": 5000.0, "idempotency": "safe"},
            {"name": "schedule-apply", "aim_ms": 5000.0, "deadline_ms": 25000.0, "idempotency": "unsafe"},
            {
                "name": "setpoint-push",
                "aim_ms": 1500.0,
                "deadline_ms": 8000.0,
                "idempotency": "keyed",
                "group": "zone",
                "window_ms": 12000.0,
            },
        ],
        "permissions": {
            "max_attempts": 3,
            "cancel": True,
            "retry_after": True,
            "max_retry_after_ms": 2000.0,
            "conn_idle_ms": 15000.0,
            "connect_timeout_ms": 250.0,
        },
        "rules": {
            "grace_to_answer_ms": 16.0,
            "stop_sending_within_ms": 2000.0,
            "cold_from": 0.3,
            "cold_ms": 8600.0,
            "fall_multiple": 3.0,
            "fall_ms": 3000.0,
        },
        **more,
    }


class Program:
    """A started process, its files, and the addresses that it has printed.

    By default it runs the daemon, on `cpus` if these are given. `environment` adds variables, and the
    process inherits the descriptors in `inherited_fds`.
    """

    def __init__(
        self,
        config: dict[str, Any],
        fronts: str,
        cpus: set[int] | None = None,
        command: tuple[str, ...] = ("-m", "spanwing"),
        environment: dict[str, str] | None = None,
        inherited_fds: tuple[int, ...] = (),
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        folder = Path(self.folder.name)
        self.write(config)
        (folder / "fronts.toml").write_text(fronts)
        self.errors = open(folder / "errors", "w+")  # noqa: SIM115 - closed by close()
        environment = {
            "PATH": os.environ["PATH"],
            "ROUTER_CONFIG": str(folder / "config.json"),
            "SPANWING_FRONTS": str(folder / "fronts.toml"),
            **(environment or {}),
        }
        self.process = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=self.errors,
            text=True,
            pass_fds=inherited_fds,
            preexec_fn=None if cpus is None else lambda: os.sched_setaffinity(0, cpus),
        )
        self.addresses: dict[str, HostPort] = {}

    def write(self, config: dict[str, Any]) -> None:
        """Replaces the configuration file atomically."""
        new_file = Path(self.folder.name) / "config.new"
        new_file.write_text(json.dumps(config))
        new_file.replace(new_file.with_suffix(".json"))

    def serving(self) -> bool:
        """Reads the printed addresses until that of clients; returns False if the process ends first."""
        for line in self.process.stdout:
            if match := re.match(r"spanwing: (\w+) on (.*):(\d+)$", line):
                self.addresses[match[1]] = (match[2], int(match[3]))
                if match[1] == "clients":
                    return True
        return False

    def stderr_text(self) -> str:
        """Returns what the process has written to standard error so far."""
        self.errors.seek(0)
        return self.errors.read()

    def peak_memory_mb(self) -> float:
        """Returns the peak resident memory of the process, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024

    def close(self) -> None:
        """Kills the process if it runs, and removes its files."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()
        self.errors.close()
        self.folder.cleanup()


class Daemon(Program):
    """A daemon that serves requests, with a known list of job workers and, by default, an admin socket.

    `workers` holds names and ports on loopback. `fronts` lists the listeners to open, `balancers` is further
    text of the fronts file, and other keyword arguments are limits. Raises RuntimeError if the daemon ends
    before it serves.
    """

    def __init__(
        self,
        name: str,
        workers: list[tuple[str, int]],
        fronts: tuple[str, ...] = ALL_FRONTS,
        balancers: str = "",
        admin: bool = True,
        cpus: set[int] | None = None,
        classes: list[dict[str, Any]] | None = None,
        command: tuple[str, ...] = ("-m", "spanwing"),
        **limits: Any,
    ) -> None:
        members = [
            {
                "id": each,
                "host_port": f"127.0.0.1:{port}",
                "locality": "a",
                "flavor": "big",
                "cell": 0,
                "phase": "active",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for each, port in workers
        ]
        config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "seed": "2a",
            "known": {"revision": 1, "complete": True, "members": members},
            "limits": {"sockets": 1024, "memory_mb": 192, **limits},
            "settings": settings(classes),
        }
        self.sockets = tempfile.TemporaryDirectory()
        self.admin = str(Path(self.sockets.name) / "admin")
        text = "".join(f'[{each}]\nlisten = "127.0.0.1:0"\n' for each in fronts)
        text += f'[admin]\nsocket = "{self.admin}"\n' if admin else ""
        super().__init__(config, f"{text}{balancers}\n", cpus, command)
        if not self.serving():
            raise RuntimeError(f"{name} did not start: {self.stderr_text()}")

    def send_command(self, **command: Any) -> dict[str, Any]:
        """Sends a command to the admin socket and returns the reply."""
        return client.send_command(self.admin, **command)

    def wait_for_state(self, *states: str, wait_s: float = STATE_TIMEOUT_S) -> dict[str, Any]:
        """Polls the status until the state is one of `states`, and returns it.

        Raises RuntimeError after `wait_s` seconds.
        """
        end = time.monotonic() + wait_s
        while (status := self.send_command(do="status"))["state"] not in states:
            if time.monotonic() > end:
                raise RuntimeError(f"daemon is still in state {status['state']}: {status['notes']}")
            time.sleep(0.02)
        return status

    def cpu_s(self) -> float:
        """Returns the CPU time that the process has used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def close(self) -> None:
        """Kills the process if it runs, and removes its files and its admin socket."""
        super().close()
        self.sockets.cleanup()
