"""How long an attempt waits until its intent is on disk: group commit, a sync per attempt, and SQLite.

Each method runs in a process of its own, one after the other, in a folder on the same disk and with the same
seeded arrivals. It writes all records of each request (accepted, intent, last byte, outcome and answer); only
the intent is waited for. CPU time and memory are those of the process, less those of a run of the same
arrivals that writes no records.

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

RATES = (45, 450, 2000)  # attempts per second
ATTEMPT_DURATION_S = 0.05  # from the intent to the records of the attempt's end
IntentCallback = Callable[[bool], None]


class NoJournal:
    """The baseline: writes no records."""

    syncs = 0

    def __init__(self, folder: str, post: Callable) -> None:
        pass

    def begin(self, name: str, on_recorded: IntentCallback) -> None:
        on_recorded(True)

    def end(self, name: str) -> None:
        pass

    def close(self) -> None:
        pass


class GroupCommit:
    """The journal as the daemon uses it."""

    def __init__(self, folder: str, post: Callable) -> None:
        loop = IOLoop.current()
        self.writer = JournalWriter(
            SegmentLog(LocalFolder(folder)),
            "refuse",
            "bench",
            post,
            60.0,
            loop.call_later,
            loop.remove_timeout,
        )

    def begin(self, name: str, on_recorded: IntentCallback) -> None:
        self.writer.record_accepted(name, "schedule-apply", "corrib", "key", "platform", 25000.0)
        self.writer.record_intent(name, 0, "w17", "127.0.0.1:7000", on_recorded)

    def end(self, name: str) -> None:
        self.writer.record_last_byte(name, 0)
        self.writer.record_outcome(name, 0, "ok")
        self.writer.record_answered(name, "served")

    def close(self) -> None:
        assert self.writer.close()

    @property
    def syncs(self) -> int:
        return self.writer.committer.syncs


class ThreadedWriter:
    """Writes the records of one attempt at a time in a thread; subclasses say how."""

    def __init__(self, folder: str, post: Callable) -> None:
        self.post, self.syncs = post, 0
        self.queue: queue.Queue[tuple[list, IntentCallback | None] | None] = queue.Queue()
        self.folder = folder
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def begin(self, name: str, on_recorded: IntentCallback) -> None:
        now_ms = time.time() * 1000.0
        self.queue.put(
            (
                [
                    RequestAccepted(
                        name, now_ms, now_ms, "schedule-apply", "corrib", "key", "platform", 25000.0
                    ),
                    AttemptIntent(name, now_ms, now_ms, 0, "w17", "127.0.0.1:7000"),
                ],
                on_recorded,
            )
        )

    def end(self, name: str) -> None:
        now_ms = time.time() * 1000.0
        self.queue.put(
            (
                [
                    LastByteWritten(name, now_ms, now_ms, 0),
                    AttemptCompleted(name, now_ms, now_ms, 0, "ok"),
                    RequestAnswered(name, now_ms, now_ms, "served"),
                ],
                None,
            )
        )

    def _run(self) -> None:
        self.open_file()
        while (item := self.queue.get()) is not None:
            records, on_recorded = item
            self.write(records, on_recorded is not None)
            if on_recorded is not None:
                self.syncs += 1
                self.post(on_recorded, True)
        self.close_file()

    def close(self) -> None:
        self.queue.put(None)
        self.thread.join()

    def open_file(self) -> None:
        raise NotImplementedError

    def write(self, records: list, sync: bool) -> None:
        raise NotImplementedError

    def close_file(self) -> None:
        raise NotImplementedError


class SyncPerAttempt(ThreadedWriter):
    """Appends the same records to a plain file, with a sync for each attempt."""

    def open_file(self) -> None:
        self.descriptor = os.open(f"{self.folder}/log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(self, records: list, sync: bool) -> None:
        os.write(self.descriptor, b"".join(encode_frame(1, encode_record(record)) for record in records))
        if sync:
            os.fsync(self.descriptor)

    def close_file(self) -> None:
        os.close(self.descriptor)


class SqliteWriter(ThreadedWriter):
    """Inserts the same records into SQLite: a transaction per attempt, synchronous=FULL, WAL mode."""

    def open_file(self) -> None:
        self.database = sqlite3.connect(f"{self.folder}/journal.db", isolation_level=None)
        self.database.execute("PRAGMA journal_mode=WAL")
        self.database.execute("PRAGMA synchronous=FULL")
        self.database.execute("CREATE TABLE records (number INTEGER PRIMARY KEY, request TEXT, record BLOB)")
        self.database.execute("CREATE INDEX by_request ON records (request)")
        self.pending: list[tuple[str, bytes]] = []

    def write(self, records: list, sync: bool) -> None:
        self.pending += [(record.request, encode_record(record)) for record in records]
        if sync:  # records without a sync are written by the next transaction
            self.database.execute("BEGIN")
            self.database.executemany("INSERT INTO records (request, record) VALUES (?, ?)", self.pending)
            self.database.execute("COMMIT")
            self.pending = []

    def close_file(self) -> None:
        self.database.close()


def delay_syncs(delay_ms: float) -> None:
    """Makes each os.fsync() of this process take that much longer, as on a slower disk."""
    fsync = os.fsync

    def delayed_fsync(descriptor: int) -> None:
        time.sleep(delay_ms / 1000.0)
        fsync(descriptor)

    os.fsync = delayed_fsync


METHODS = {
    "baseline": NoJournal,
    "group commit": GroupCommit,
    "sync per attempt": SyncPerAttempt,
    "SQLite FULL": SqliteWriter,
}


def run(method: str, rate: float, seconds: float, folder: str) -> dict[str, float]:
    """Measures one method at one rate (attempts per second) in this process.

    Returns waits in ms, syncs per second, CPU time in ms per second and peak memory in MB.
    """
    loop, source, waits_ms, waiting = IOLoop(make_current=True), random.Random(1), [], 0
    journal = METHODS[method](folder, loop.add_callback)
    arrival_s, arrivals_s = 0.0, []
    while arrival_s < seconds:
        arrival_s += source.expovariate(rate)
        arrivals_s.append(arrival_s)

    def begin_attempt(number: int, started_at_s: float) -> None:
        nonlocal waiting
        waiting += 1
        if number + 1 < len(arrivals_s):
            loop.call_at(started_at_s + arrivals_s[number + 1], begin_attempt, number + 1, started_at_s)
        name, begun_at_s = f"job-{number:08d}", time.perf_counter()

        def on_recorded(_: bool) -> None:
            nonlocal waiting
            waits_ms.append((time.perf_counter() - begun_at_s) * 1000.0)
            waiting -= 1
            loop.call_later(ATTEMPT_DURATION_S, journal.end, name)

        journal.begin(name, on_recorded)

    def finish() -> None:
        if waiting or len(waits_ms) < len(arrivals_s):
            loop.call_later(0.05, finish)
        else:
            loop.call_later(2 * ATTEMPT_DURATION_S, loop.stop)

    started_at_s = loop.time()
    usage_before = resource.getrusage(resource.RUSAGE_SELF)
    loop.call_at(started_at_s + arrivals_s[0], begin_attempt, 0, started_at_s)
    loop.call_at(started_at_s + seconds, finish)
    loop.start()
    elapsed_s = loop.time() - started_at_s
    usage = resource.getrusage(resource.RUSAGE_SELF)
    cpu_s = usage.ru_utime + usage.ru_stime - usage_before.ru_utime - usage_before.ru_stime
    syncs = journal.syncs
    journal.close()
    p50_ms, p99_ms = np.percentile(waits_ms, (50, 99))
    memory_mb = int(re.search(r"VmHWM:\s+(\d+) kB", Path("/proc/self/status").read_text())[1]) / 1024
    return {
        "attempts": len(waits_ms),
        "p50_ms": p50_ms,
        "p99_ms": p99_ms,
        "max_ms": max(waits_ms),
        "syncs_per_s": syncs / elapsed_s,
        "cpu_ms_per_s": 1000.0 * cpu_s / elapsed_s,
        "memory_mb": memory_mb,
    }


@click.command()
@click.option("--seconds", default=10.0, show_default=True, help="Duration of each run.")
@click.option("--folder", help="A folder on the disk to measure [default: the system's temporary folder].")
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--slow-ms", default=5.0, show_default=True, help="Delay of each sync in the second table.")
@click.option("--one", nargs=3, hidden=True, help="Run here: METHOD RATE SYNC_DELAY_MS.")
def main(
    seconds: float, folder: str | None, out: Path | None, slow_ms: float, one: tuple[str, str, str] | None
) -> None:
    """Measures all methods at all rates."""
    if one:
        if float(one[2]):
            delay_syncs(float(one[2]))
        click.echo(json.dumps(run(one[0], float(one[1]), seconds, folder)))
        return
    tables = [
        compare(RATES, list(METHODS), seconds, folder, 0.0),
        compare(RATES, ["baseline", "group commit", "sync per attempt"], seconds, folder, slow_ms),
    ]
    for table in tables:
        click.echo(table)
    if out:
        out.write_text(
            "# How long an attempt waits until its intent is on disk\n\n"
            f"    .venv/bin/python -m benchmarks.journal_latency --seconds {seconds:g} "
            f"--slow-ms {slow_ms:g}\n\n"
            "The wait is all that the journal adds to an attempt. CPU time and memory are in addition to "
            f"those of the same arrivals without any records.\n\n{tables[0]}\n\n"
            f"The same with a delay of {slow_ms:g} ms in each call of os.fsync(), as on a slower disk. "
            f"SQLite is left out, as it does not call os.fsync().\n\n{tables[1]}\n"
        )


def compare(
    rates: tuple[int, ...], methods: list[str], seconds: float, folder: str | None, sync_delay_ms: float
) -> str:
    """Runs each method at each rate in a process of its own; returns a Markdown table.

    The first method is the baseline, whose CPU time and memory are subtracted from those of the others.
    """
    lines = [
        "| attempts/s | method | attempts | p50, ms | p99, ms | max, ms | syncs/s | CPU, ms/s | memory, MB |",
        "| --- " * 9 + "|",
    ]
    for rate in rates:
        baseline = None
        for method in methods:
            with tempfile.TemporaryDirectory(dir=folder) as run_folder:
                result = json.loads(
                    subprocess.run(
                        [
                            sys.executable,
                            "-m",
                            "benchmarks.journal_latency",
                            "--seconds",
                            str(seconds),
                            "--folder",
                            run_folder,
                            "--one",
                            method,
                            str(rate),
                            str(sync_delay_ms),
                        ],
                        check=True,
                        capture_output=True,
                    ).stdout
                )
            baseline = baseline or result
            if method != "baseline":
                lines.append(
                    f"| {rate} | {method} | {result['attempts']} "
                    f"| {result['p50_ms']:.2f} | {result['p99_ms']:.2f} "
                    f"| {result['max_ms']:.2f} | {result['syncs_per_s']:.0f} "
                    f"| {result['cpu_ms_per_s'] - baseline['cpu_ms_per_s']:.1f} "
                    f"| {result['memory_mb'] - baseline['memory_mb']:.1f} |"
                )
    return "\n".join(lines)


if __name__ == "__main__":
    main()
