"""Measures time, memory and size on disk of a restart with a million records and of queries over ten million.

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

REQUESTS_PER_BATCH = 200
RECORDS_PER_REQUEST = 5
WORKERS, OPEN_REQUESTS = 19, 100
FIRST_MS, REQUEST_INTERVAL_MS = 1.8e12, 22.0  # wall clock of the first request, and time between requests
SEGMENT_BYTES = 16_000_000


def fill(folder: str, records: int) -> None:
    """Writes a journal of about that many records; the last OPEN_REQUESTS requests are left open."""
    log = SegmentLog(LocalFolder(folder), RetentionLimits(SEGMENT_BYTES, 1e15, 1e15, 1 << 50))
    log.files.sync = lambda name: None  # the time of a sync is measured by benchmarks.journal_latency
    requests = records // RECORDS_PER_REQUEST
    for first in range(0, requests, REQUESTS_PER_BATCH):
        batch = []
        for number in range(first, min(requests, first + REQUESTS_PER_BATCH)):
            name, now_ms = f"job-{number:08d}", FIRST_MS + number * REQUEST_INTERVAL_MS
            batch += [
                RequestAccepted(
                    name,
                    now_ms,
                    now_ms,
                    "schedule-apply",
                    f"tenant-{number % 40}",
                    f"key-{number}",
                    "platform",
                    25000.0,
                ),
                AttemptIntent(name, now_ms + 2, now_ms, 0, f"w{number % WORKERS}", "127.0.0.1:7000"),
            ]
            if number < requests - OPEN_REQUESTS:
                batch += [
                    LastByteWritten(name, now_ms + 5, now_ms, 0),
                    AttemptCompleted(name, now_ms + 900, now_ms, 0, "ok"),
                    RequestAnswered(name, now_ms + 901, now_ms, "served"),
                ]
        log.write(batch, FIRST_MS + first * REQUEST_INTERVAL_MS)
    log.close()
    log.files.stop()


def run_module(*command: str) -> tuple[float, float, str]:
    """Runs a module with arguments in a process; returns seconds, peak memory in MB, and its output."""
    started_at_s = time.perf_counter()
    result = subprocess.run(
        [sys.executable, "-c", MODULE_RUNNER, *command], check=True, capture_output=True, text=True
    )
    elapsed_s = time.perf_counter() - started_at_s
    return elapsed_s, int(re.search(r"VmHWM:\s+(\d+) kB", result.stderr)[1]) / 1024, result.stdout


# Runs the module that its first argument names, then prints the process status, which has the peak memory.
MODULE_RUNNER = """
import runpy, sys
sys.argv = sys.argv[1:]
try:
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
except SystemExit as ended:
    assert not ended.code, ended.code
print(open("/proc/self/status").read(), file=sys.stderr)
"""


def size_mb(folder: str, *suffixes: str) -> float:
    """Returns the total size of the folder's files with one of these suffixes, in MB."""
    return sum(path.stat().st_size for path in Path(folder).iterdir() if path.suffix in suffixes) / 1e6


@click.command()
@click.option("--restart-records", default=1_000_000, show_default=True)
@click.option("--query-records", default=10_000_000, show_default=True)
@click.option("--folder", help="A folder on the disk to use [default: the system's temporary folder].")
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--open", "folder_to_open", hidden=True, help="Open the log in this folder and print the time.")
def main(
    restart_records: int, query_records: int, folder: str | None, out: Path | None, folder_to_open: str | None
) -> None:
    """Writes journals of both sizes and measures restarts and queries."""
    if folder_to_open:
        started_at_s = time.perf_counter()
        log = SegmentLog(LocalFolder(folder_to_open))
        click.echo(
            json.dumps(
                {"s": time.perf_counter() - started_at_s, "open": len(log.request_states.open_requests)}
            )
        )
        return
    lines = ["| measurement | records | on disk, MB | seconds | memory, MB | found |", "| --- " * 6 + "|"]

    def add_row(
        measurement: str, count: int, disk_mb: float, seconds: float, memory_mb: float, found: object
    ) -> None:
        lines.append(
            f"| {measurement} | {count:,} | {disk_mb:.0f} | {seconds:.2f} | {memory_mb:.0f} | {found} |"
        )
        click.echo(lines[-1])

    with tempfile.TemporaryDirectory(dir=folder) as journal_folder:
        fill(journal_folder, restart_records)
        disk_mb = size_mb(journal_folder, ".log")
        _, memory_mb, output = run_module("benchmarks.journal_scale", "--open", journal_folder)
        add_row(
            "restart with a snapshot",
            restart_records,
            disk_mb,
            json.loads(output)["s"],
            memory_mb,
            f"{json.loads(output)['open']} open",
        )
        for path in Path(journal_folder).glob(f"*{SNAPSHOT_SUFFIX}"):
            path.unlink()
        _, memory_mb, output = run_module("benchmarks.journal_scale", "--open", journal_folder)
        add_row(
            "restart without a snapshot",
            restart_records,
            disk_mb,
            json.loads(output)["s"],
            memory_mb,
            f"{json.loads(output)['open']} open",
        )
        shutil.rmtree(journal_folder, ignore_errors=True)
        Path(journal_folder).mkdir()
        fill(journal_folder, query_records)
        disk_mb = size_mb(journal_folder, ".log")
        requests = query_records // RECORDS_PER_REQUEST
        request_query = f"request = job-{requests // 3:08d}"
        hour_start_ms = FIRST_MS + (requests // 2) * REQUEST_INTERVAL_MS
        hour_bounds = [
            time.strftime("%Y-%m-%dT%H:%M:%S", time.localtime((hour_start_ms + offset_ms) / 1000))
            for offset_ms in (0.0, 3_600_000.0)
        ]
        worker_query = f"worker = w7 and time >= {hour_bounds[0]} and time < {hour_bounds[1]}"
        for measurement, expression in (
            ("query for one request, builds the indexes", request_query),
            ("query for one request, with indexes", request_query),
            ("query for one hour of a worker, with indexes", worker_query),
        ):
            elapsed_s, memory_mb, output = run_module(
                "spanwing.cli.main",
                "journal",
                "query",
                expression,
                "--directory",
                journal_folder,
                "--limit",
                "0",
            )
            add_row(
                measurement, query_records, disk_mb, elapsed_s, memory_mb, f"{len(output.splitlines())} rows"
            )
        add_row("size of the indexes", query_records, size_mb(journal_folder, ".idx"), 0.0, 0.0, "")
    if out:
        table = "\n".join(lines)
        out.write_text(
            "# Restarts and queries of large journals\n\n"
            "    .venv/bin/python -m benchmarks.journal_scale\n\n"
            f"{RECORDS_PER_REQUEST} records per request, {WORKERS} workers, segments of "
            f"{SEGMENT_BYTES / 1e6:.0f} MB. The time of a restart is the time to open the log; that of a "
            f"query is the time of the whole command, including its start.\n\n{table}\n"
        )


if __name__ == "__main__":
    main()
