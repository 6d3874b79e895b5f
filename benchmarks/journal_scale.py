"""A restart with a million records, and queries over ten million: time, memory and size on disk.

.venv/bin/python -m benchmarks.journal_scale --out docs/results/journal-scale.md
"""

from __future__ import annotations

import json
import re
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

from spanwing.journal.files import LocalFolder
from spanwing.journal.records import (
    AttemptCompleted,
    AttemptIntent,
    LastByteWritten,
    RequestAccepted,
    RequestAnswered,
)
from spanwing.journal.segment_log import SNAPSHOT_SUFFIX, RetentionLimits, SegmentLog

BATCH = 200  # requests in one write
A_RECORD = 5  # records of a request
WORKERS, OPEN = 19, 100
FIRST_MS, STEP_MS = 1.8e12, 22.0
SEGMENT = 16_000_000


def fill(folder: str, records: int) -> None:
    """Requests one after another, the last OPEN of them left open."""
    log = SegmentLog(LocalFolder(folder), RetentionLimits(SEGMENT, 1e15, 1e15, 1 << 50))
    log.files.sync = lambda name: None  # how long the disk takes is another measurement
    requests = records // A_RECORD
    for begin in range(0, requests, BATCH):
        batch = []
        for number in range(begin, min(requests, begin + BATCH)):
            name, now = f"job-{number:08d}", FIRST_MS + number * STEP_MS
            batch += [
                RequestAccepted(
                    name,
                    now,
                    now,
                    "schedule-apply",
                    f"tenant-{number % 40}",
                    f"key-{number}",
                    "platform",
                    25000.0,
                ),
                AttemptIntent(name, now + 2, now, 0, f"w{number % WORKERS}", "127.0.0.1:7000"),
            ]
            if number < requests - OPEN:
                batch += [
                    LastByteWritten(name, now + 5, now, 0),
                    AttemptCompleted(name, now + 900, now, 0, "ok"),
                    RequestAnswered(name, now + 901, now, "served"),
                ]
        log.write(batch, FIRST_MS + begin * STEP_MS)
    log.close()
    log.files.stop()


def timed(*command: str) -> tuple[float, float, str]:
    """Seconds, the most memory in MB, and the output of a program of ours."""
    begun = time.perf_counter()
    done = subprocess.run(
        [sys.executable, "-c", AROUND, *command], check=True, capture_output=True, text=True
    )
    took = time.perf_counter() - begun
    return took, int(re.search(r"VmHWM:\s+(\d+) kB", done.stderr)[1]) / 1024, done.stdout


AROUND = """
import runpy, sys
sys.argv = sys.argv[1:]
try:
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
except SystemExit as ended:
    assert not ended.code, ended.code
print(open("/proc/self/status").read(), file=sys.stderr)
"""


def size_mb(folder: str, *endings: str) -> float:
    return sum(each.stat().st_size for each in Path(folder).iterdir() if each.suffix in endings) / 1e6


@click.command()
@click.option("--restart-records", default=1_000_000, show_default=True)
@click.option("--query-records", default=10_000_000, show_default=True)
@click.option("--folder", help="On the disk to be used [default: the system's temporary folder].")
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--open", "opened", hidden=True, help="Open this folder's log, and say how long it took.")
def main(
    restart_records: int, query_records: int, folder: str | None, out: Path | None, opened: str | None
) -> None:
    """Fill folders, then measure."""
    if opened:
        begun = time.perf_counter()
        log = SegmentLog(LocalFolder(opened))
        click.echo(
            json.dumps({"s": time.perf_counter() - begun, "open": len(log.request_states.open_requests)})
        )
        return
    lines = ["| what | records | on disk, MB | seconds | memory, MB | found |", "| --- " * 6 + "|"]

    def told(what: str, count: int, disk: float, seconds: float, memory: float, found: object) -> None:
        lines.append(f"| {what} | {count:,} | {disk:.0f} | {seconds:.2f} | {memory:.0f} | {found} |")
        click.echo(lines[-1])

    with tempfile.TemporaryDirectory(dir=folder) as place:
        fill(place, restart_records)
        disk = size_mb(place, ".log")
        _, memory, said = timed("benchmarks.journal_scale", "--open", place)
        told(
            "restart, with its snapshot",
            restart_records,
            disk,
            json.loads(said)["s"],
            memory,
            f"{json.loads(said)['open']} open",
        )
        for each in Path(place).glob(f"*{SNAPSHOT_SUFFIX}"):
            each.unlink()
        _, memory, said = timed("benchmarks.journal_scale", "--open", place)
        told(
            "restart, its snapshots lost",
            restart_records,
            disk,
            json.loads(said)["s"],
            memory,
            f"{json.loads(said)['open']} open",
        )
        shutil.rmtree(place, ignore_errors=True)
        Path(place).mkdir()
        fill(place, query_records)
        disk = size_mb(place, ".log")
        requests = query_records // A_RECORD
        one = f"request = job-{requests // 3:08d}"
        begin = FIRST_MS + (requests // 2) * STEP_MS
        when = [
            time.strftime("%Y-%m-%dT%H:%M:%S", time.localtime((begin + shift) / 1000))
            for shift in (0.0, 3_600_000.0)
        ]
        hour = f"worker = w7 and time >= {when[0]} and time < {when[1]}"
        for what, expression in (
            ("one request, indexes made", one),
            ("one request, indexes there", one),
            ("a worker's hour, indexes there", hour),
        ):
            took, memory, said = timed(
                "spanwing.cli.main", "journal", "query", expression, "--directory", place, "--limit", "0"
            )
            told(what, query_records, disk, took, memory, f"{len(said.splitlines())} rows")
        told("size of the indexes", query_records, size_mb(place, ".idx"), 0.0, 0.0, "")
    if out:
        table = "\n".join(lines)
        out.write_text(
            "# The journal at size\n\n    .venv/bin/python -m benchmarks.journal_scale\n\n"
            f"{A_RECORD} records a request, {WORKERS} workers, segments of {SEGMENT / 1e6:.0f} "
            "MB. A restart is the time to open the log; a query is the whole command, its own "
            f"start among it.\n\n{table}\n"
        )


if __name__ == "__main__":
    main()
