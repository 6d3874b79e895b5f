"""Measures the time per event and the peak memory of the decision module over fixed streams of events.

The streams are those of tests/test_decision_digests.py. Their events are recorded first and then replayed
to the module alone, so that the models of clients and workers are not measured. Time: the minimum of several
rounds in one process. Memory: the peak of the module's allocations over a stream, by tracemalloc, in a
separate round.

To compare two builds, run them alternately and compare the pairs.

    .venv/bin/python -m benchmarks.decision_cost --rounds 5
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from test_decision_digests import EventStream, SchedulerUnderTest  # noqa: E402

STREAMS = (("plain", 1), ("probes", 2), ("starts", 3), ("tenants", 4), ("keys", 5), ("large", 6), ("long", 0))
EVENTS_PER_STREAM = 4000


class Recorder:
    """Passes a stream's events to its scheduler and records them."""

    def __init__(self, scheduler: SchedulerUnderTest) -> None:
        self.scheduler, self.events = scheduler, []

    def handle(self, now: float, event_name: str, values: tuple) -> list[tuple]:
        self.events.append((now, event_name, values))
        return self.scheduler.handle(now, event_name, values)


def record_stream(family: str, seed: int) -> tuple[dict, float, list[tuple]]:
    """Returns the settings, the clock at the start and the events of a stream."""
    stream = EventStream(family, seed, EVENTS_PER_STREAM)
    start_ms, stream.scheduler = stream.now, Recorder(stream.scheduler)
    stream.run()
    return stream.options, start_ms, stream.scheduler.events


def replay(scheduler: SchedulerUnderTest, events: list[tuple]) -> float:
    """Returns the seconds that all events take, with the conversion of each event and its actions."""
    handle, started_s = scheduler.handle, time.perf_counter()
    for now, event_name, values in events:
        handle(now, event_name, values)
    return time.perf_counter() - started_s


@click.command()
@click.option("--rounds", default=5, show_default=True)
def main(rounds: int) -> None:
    """Measures the decision module over each stream."""
    total_s, count = 0.0, 0
    for family, seed in STREAMS:
        options, start_ms, events = record_stream(family, seed)
        least_s = float("inf")
        for _ in range(rounds):
            gc.collect()
            least_s = min(least_s, replay(SchedulerUnderTest(options, seed, start_ms), events))
        gc.collect()
        tracemalloc.start()
        scheduler = SchedulerUnderTest(options, seed, start_ms)
        replay(scheduler, events)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        total_s, count = total_s + least_s, count + len(events)
        click.echo(
            f"{family}-{seed}: {1e6 * least_s / len(events):.2f} us an event, "
            f"peak {peak_bytes / 1024:.0f} KiB, {len(events)} events"
        )
    click.echo(f"all: {1e6 * total_s / count:.2f} us an event")


if __name__ == "__main__":
    main()
