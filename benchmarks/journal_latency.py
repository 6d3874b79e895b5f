"""What a send waits for its intent to be on disk: the journal's group commit, a sync for each send, SQLite.

Each way runs in a process of its own, one after another on the same folder's disk, under the same seeded
arrivals; each writes all records of a request (taken, intent, last byte, outcome, answered), and the intent
is waited for. CPU and memory are those of the process, less what the arrivals alone take.

    .venv/bin/python -m benchmarks.journal_latency --seconds 10 --out docs/results/journal-latency.md
"""

from __future__ import annotations

import json
import os
import queue
import random
import re
import resource
import sqlite3
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import click
import numpy as np
from tornado.ioloop import IOLoop

from spanwing.journal.files import LocalFolder
from spanwing.journal.frames import encode_frame
from spanwing.journal.records import (
    AttemptCompleted,
    AttemptIntent,
    LastByteWritten,
    RequestAccepted,
    RequestAnswered,
    encode_record,
)
from spanwing.journal.segment_log import SegmentLog
from spanwing.journal.writer import JournalWriter

RATES = (45, 450, 2000)
RUNNING_S = 0.05  # from the intent to the other records
Then = Callable[[bool], None]


class Nothing:
    """The arrivals alone."""

    syncs = 0

    def __init__(self, folder: str, post: Callable) -> None:
        pass

    def begin(self, name: str, then: Then) -> None:
        then(True)

    def end(self, name: str) -> None:
        pass

    def close(self) -> None:
        pass


class GroupCommit:
    """The journal as the daemon has it."""

    def __init__(self, folder: str, post: Callable) -> None:
        loop = IOLoop.current()
        self.keeper = JournalWriter(
            SegmentLog(LocalFolder(folder)),
            "refuse",
            "bench",
            post,
            60.0,
            loop.call_later,
            loop.remove_timeout,
        )

    def begin(self, name: str, then: Then) -> None:
        self.keeper.record_accepted(name, "schedule-apply", "corrib", "key", "platform", 25000.0)
        self.keeper.record_intent(name, 0, "w17", "127.0.0.1:7000", then)

    def end(self, name: str) -> None:
        self.keeper.record_last_byte(name, 0)
        self.keeper.record_outcome(name, 0, "ok")
        self.keeper.record_answered(name, "served")

    def close(self) -> None:
        assert self.keeper.close()

    @property
    def syncs(self) -> int:
        return self.keeper.committer.syncs


class Threaded:
    """A thread that takes one request's records at a time."""

    def __init__(self, folder: str, post: Callable) -> None:
        self.post, self.syncs = post, 0
        self.work: queue.Queue[tuple[list, Then | None] | None] = queue.Queue()
        self.folder = folder
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def begin(self, name: str, then: Then) -> None:
        now = time.time() * 1000.0
        self.work.put(
            (
                [
                    RequestAccepted(name, now, now, "schedule-apply", "corrib", "key", "platform", 25000.0),
                    AttemptIntent(name, now, now, 0, "w17", "127.0.0.1:7000"),
                ],
                then,
            )
        )

    def end(self, name: str) -> None:
        now = time.time() * 1000.0
        self.work.put(
            (
                [
                    LastByteWritten(name, now, now, 0),
                    AttemptCompleted(name, now, now, 0, "ok"),
                    RequestAnswered(name, now, now, "served"),
                ],
                None,
            )
        )

    def _run(self) -> None:
        self.open()
        while (work := self.work.get()) is not None:
            records, then = work
            self.write(records, then is not None)
            if then is not None:
                self.syncs += 1
                self.post(then, True)
        self.shut()

    def close(self) -> None:
        self.work.put(None)
        self.thread.join()

    def open(self) -> None:
        raise NotImplementedError

    def write(self, records: list, sync: bool) -> None:
        raise NotImplementedError

    def shut(self) -> None:
        raise NotImplementedError


class SyncEach(Threaded):
    """The same records in a plain file, with a sync for each send."""

    def open(self) -> None:
        self.file = os.open(f"{self.folder}/log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(self, records: list, sync: bool) -> None:
        os.write(self.file, b"".join(encode_frame(1, encode_record(each)) for each in records))
        if sync:
            os.fsync(self.file)

    def shut(self) -> None:
        os.close(self.file)


class Sqlite(Threaded):
    """A table of records, a transaction for each send, synchronous=FULL, in WAL mode."""

    def open(self) -> None:
        self.base = sqlite3.connect(f"{self.folder}/journal.db", isolation_level=None)
        self.base.execute("PRAGMA journal_mode=WAL")
        self.base.execute("PRAGMA synchronous=FULL")
        self.base.execute("CREATE TABLE records (number INTEGER PRIMARY KEY, request TEXT, record BLOB)")
        self.base.execute("CREATE INDEX by_request ON records (request)")
        self.held: list[tuple[str, bytes]] = []

    def write(self, records: list, sync: bool) -> None:
        self.held += [(each.request, encode_record(each)) for each in records]
        if sync:  # the others ride along
            self.base.execute("BEGIN")
            self.base.executemany("INSERT INTO records (request, record) VALUES (?, ?)", self.held)
            self.base.execute("COMMIT")
            self.held = []

    def shut(self) -> None:
        self.base.close()


def slow_disk(sync_ms: float) -> None:
    """From now on each sync takes so much longer, as on a disk that has to turn."""
    sync = os.fsync

    def slow(descriptor: int) -> None:
        time.sleep(sync_ms / 1000.0)
        sync(descriptor)

    os.fsync = slow


WAYS = {"nothing": Nothing, "group commit": GroupCommit, "sync each send": SyncEach, "SQLite FULL": Sqlite}


def run(way: str, rate: float, seconds: float, folder: str) -> dict[str, float]:
    """In its own process: latencies in ms, syncs a second, CPU in ms a second, memory in MB."""
    loop, source, waits, left = IOLoop(make_current=True), random.Random(1), [], 0
    made = WAYS[way](folder, loop.add_callback)
    at, times = 0.0, []
    while at < seconds:
        at += source.expovariate(rate)
        times.append(at)

    def come(number: int, begun: float) -> None:
        nonlocal left
        left += 1
        if number + 1 < len(times):
            loop.call_at(begun + times[number + 1], come, number + 1, begun)
        name, asked = f"job-{number:08d}", time.perf_counter()

        def then(_: bool) -> None:
            nonlocal left
            waits.append((time.perf_counter() - asked) * 1000.0)
            left -= 1
            loop.call_later(RUNNING_S, made.end, name)

        made.begin(name, then)

    def finish() -> None:
        if left or len(waits) < len(times):
            loop.call_later(0.05, finish)
        else:
            loop.call_later(2 * RUNNING_S, loop.stop)

    begun = loop.time()
    used = resource.getrusage(resource.RUSAGE_SELF)
    loop.call_at(begun + times[0], come, 0, begun)
    loop.call_at(begun + seconds, finish)
    loop.start()
    took = loop.time() - begun
    after = resource.getrusage(resource.RUSAGE_SELF)
    cpu = after.ru_utime + after.ru_stime - used.ru_utime - used.ru_stime
    syncs = made.syncs
    made.close()
    p50, p99 = np.percentile(waits, (50, 99))
    memory = int(re.search(r"VmHWM:\s+(\d+) kB", Path("/proc/self/status").read_text())[1]) / 1024
    return {
        "sends": len(waits),
        "p50": p50,
        "p99": p99,
        "worst": max(waits),
        "syncs": syncs / took,
        "cpu": 1000.0 * cpu / took,
        "memory": memory,
    }


@click.command()
@click.option("--seconds", default=10.0, show_default=True, help="Of each run.")
@click.option("--folder", help="On the disk to be measured [default: the system's temporary folder].")
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--slow-ms", default=5.0, show_default=True, help="Of a sync, in the second table.")
@click.option("--one", nargs=3, hidden=True, help="A way, a rate and ms more for a sync, in this process.")
def main(
    seconds: float, folder: str | None, out: Path | None, slow_ms: float, one: tuple[str, str, str] | None
) -> None:
    """Measure all ways at all rates."""
    if one:
        if float(one[2]):
            slow_disk(float(one[2]))
        click.echo(json.dumps(run(one[0], float(one[1]), seconds, folder)))
        return
    tables = [
        compare(RATES, list(WAYS), seconds, folder, 0.0),
        compare(RATES, ["nothing", "group commit", "sync each send"], seconds, folder, slow_ms),
    ]
    for table in tables:
        click.echo(table)
    if out:
        out.write_text(
            "# What a send waits for its intent to be on disk\n\n"
            f"    .venv/bin/python -m benchmarks.journal_latency --seconds {seconds:g} "
            f"--slow-ms {slow_ms:g}\n\n"
            "Latency is all that the journal adds to a send; CPU and memory are beyond those of "
            f"the same arrivals with nothing written down.\n\n{tables[0]}\n\n"
            f"The same with {slow_ms:g} ms more for each sync, as on a slower disk (added to the "
            f"call; SQLite makes its own):\n\n{tables[1]}\n"
        )


def compare(
    rates: tuple[int, ...], ways: list[str], seconds: float, folder: str | None, slow_ms: float
) -> str:
    lines = [
        "| sends a second | way | sends | p50, ms | p99, ms | worst, ms | syncs a second "
        "| CPU, ms a second | memory, MB |",
        "| --- " * 9 + "|",
    ]
    for rate in rates:
        base = None
        for way in ways:
            with tempfile.TemporaryDirectory(dir=folder) as place:
                found = json.loads(
                    subprocess.run(
                        [
                            sys.executable,
                            "-m",
                            "benchmarks.journal_latency",
                            "--seconds",
                            str(seconds),
                            "--folder",
                            place,
                            "--one",
                            way,
                            str(rate),
                            str(slow_ms),
                        ],
                        check=True,
                        capture_output=True,
                    ).stdout
                )
            base = base or found
            if way != "nothing":
                lines.append(
                    f"| {rate} | {way} | {found['sends']} | {found['p50']:.2f} | {found['p99']:.2f} "
                    f"| {found['worst']:.2f} | {found['syncs']:.0f} "
                    f"| {found['cpu'] - base['cpu']:.1f} | {found['memory'] - base['memory']:.1f} |"
                )
    return "\n".join(lines)


if __name__ == "__main__":
    main()
