"""A scheduler is cut off while a policy that does not fit it is taken: back again, it answers nobody."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from parts import (  # noqa: E402 - found by the line above
    TROUBLE,
    CannotRunError,
    Daemon,
    Discovery,
    Link,
    Record,
    exchange,
    free_ports,
    response,
    run_test,
    send_command,
    serve_http,
    settings,
    wait_until,
)

MEMBERS, NAMES = "abc", "abcd"
CLASSES = [{"name": "status-read", "aim_ms": 850.0, "deadline_ms": 5000.0, "idempotency": "safe"}]
AWAY_MS = 4000.0
BUDGET_MS, LATE_MS = 3000, 550  # an answer that comes LATE_MS after its time is lost
RUN_S = 0.1
MAX_CUT_S = 6.0  # "for 6 s a zone is partitioned"


def serve_worker(record: Record, name: str, callbacks: int) -> int:
    """Opens a job worker as one scheduler reaches it; returns its port."""

    def run(job: str) -> None:
        time.sleep(RUN_S)
        event = json.dumps({"id": job, "from": name, "state": "done", "result": f"result of {job}"})
        exchange(callbacks, "POST", "/v1/job-events", {}, event)

    def handle(method: str, target: str, headers: dict, body: bytes) -> bytes:
        if method != "POST":
            return response(200)
        record.write(f"{name}: gets {headers['x-call-id']}")
        threading.Thread(target=run, args=(headers["x-call-id"],), daemon=True).start()
        return response(202)

    listener = socket.create_server(("127.0.0.1", 0))
    serve_http(listener, handle)
    return listener.getsockname()[1]


def start_fleet(
    record: Record, temporary: Path, daemons: list[Daemon]
) -> tuple[dict[str, int], dict[str, Link]]:
    """Starts three members and scheduler d; returns the clients' ports and the links of d to the members."""
    ports = free_ports(7)
    store, clients = dict(zip(MEMBERS, ports, strict=False)), dict(zip(NAMES, ports[3:], strict=True))
    links = {name: Link(record, f"d to {name}", store[name]) for name in MEMBERS}
    for position, name in enumerate(NAMES):
        reached = {each: links[each].port if name == "d" else store[each] for each in MEMBERS}
        members = ", ".join(f'{each} = "127.0.0.1:{port}"' for each, port in reached.items())
        fronts = f"""
[admin]
socket = "{temporary}/admin-{name}"
[zones]
members = {{ {members} }}
[policy]
directory = "{temporary}/policy-{name}"
away_ms = {AWAY_MS}
"""
        if name in MEMBERS:
            peers = ", ".join(f'{each} = "127.0.0.1:{store[each]}"' for each in MEMBERS if each != name)
            fronts += f"""
[store]
member = "{name}"
directory = "{temporary}/store-{name}"
listen = "127.0.0.1:{store[name]}"
peers = {{ {peers} }}
"""
        # One job worker in each zone; each scheduler reaches it at an address of its own.
        workers = [(f"s-{zone}", serve_worker(record, f"s-{zone}", clients[name]), zone) for zone in NAMES]
        roster = Discovery(record, workers)
        config = {
            "listen": f"127.0.0.1:{clients[name]}",
            "discovery": f"127.0.0.1:{roster.port}",
            "settings": settings(
                CLASSES, balancers=len(NAMES), position=position, areas=list(NAMES), zone=name
            ),
        }
        daemons.append(Daemon(record, name, config, fronts, temporary))
        daemons[-1].start()
    return clients, links


def ask(record: Record, name: str, port: int, number: int) -> str:
    """Sends a job to a scheduler; returns the fault if it gets no whole answer in time."""
    job, started = f"read-{name}-{number:04}", time.monotonic()
    headers = {"X-Call-Id": job, "X-Budget-Ms": str(BUDGET_MS)}
    status, text = exchange(port, "POST", "/status-read", headers, "x", BUDGET_MS / 1000.0 + 2.0)
    took_ms = (time.monotonic() - started) * 1000.0
    record.write(f"client at {name}: {job} answered {status} {text!r} after {took_ms:.0f} ms")
    if not status or took_ms > BUDGET_MS + LATE_MS:
        return f"{name} gave {job} no answer within {BUDGET_MS + LATE_MS} ms, nor within {took_ms:.0f} ms"
    return ""


def test(record: Record, temporary: Path, daemons: list[Daemon]) -> str:
    """Returns the fault, or an empty text."""
    clients, links = start_fleet(record, temporary, daemons)
    for name in NAMES:
        wait_until(lambda name=name: exchange(clients[name], "GET", "/up")[0] == 200, 20, f"{name} is up")
        if ask(record, name, clients[name], 1):
            raise CannotRunError(f"{name} does not serve before the disruption")
    cut_at = time.monotonic()
    if TROUBLE:
        for each in links.values():
            each.cut()
    admin = temporary / "admin-a"
    policy = json.loads(send_command(admin, do="policy_text", version=0)["text"])
    policy["balancers"] = len(MEMBERS)  # scheduler d is to be no more

    def propose() -> bool:
        reply = send_command(
            admin, do="policy_order", order="propose", text=json.dumps(policy), base=1, within_s=60.0
        )
        record.write(f"operator: proposes version 2: {reply}")
        time.sleep(0.0 if reply["ok"] else 0.3)
        return reply["ok"]

    wait_until(propose, 20, "a proposal is accepted")
    if TROUBLE:
        wait_until(lambda: send_command(admin, do="policy")["version"] == 2, 30, "version 2 is in force")
        for each in links.values():
            each.heal()
        if time.monotonic() - cut_at > MAX_CUT_S:
            raise CannotRunError(f"the cut lasted longer than {MAX_CUT_S} s")
        wait_until(
            lambda: send_command(temporary / "admin-d", do="policy")["in_force"] == 2, 20, "d hears of it"
        )
    time.sleep(3.0)
    record.write(f"d: {send_command(temporary / 'admin-d', do='policy')}")
    record.write(f"d: GET /up is answered {exchange(clients['d'], 'GET', '/up')}")
    faults = [ask(record, name, clients[name], number) for number in (2, 3) for name in NAMES]
    return "; ".join(filter(None, faults))


run_test(FOLDER, test)
