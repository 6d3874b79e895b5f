"""What one event costs the decision module: time and peak memory over fixed streams of events.

The streams are drawn as in tests/test_decision_digests.py. Events are recorded first; then the module alone
gets them again, so that the little world around it is not measured. Time: the least of some rounds, in one
process. Memory: the peak of what the module allocated over a stream, by tracemalloc, in a round of its own.
To compare two builds run both in turns and compare pairs.

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

from test_decision_digests import Node, Stream  # noqa: E402

STREAMS = (("plain", 1), ("probes", 2), ("starts", 3), ("tenants", 4), ("keys", 5), ("large", 6), ("long", 0))
EVENTS = 4000


class Recorder:
    """Stands between a stream's world and its node, and keeps the events."""

    def __init__(self, node: Node) -> None:
        self.node, self.events = node, []

    def take(self, now: float, word: str, values: tuple) -> list[tuple]:
        self.events.append((now, word, values))
        return self.node.take(now, word, values)


def recorded(family: str, seed: int) -> tuple[dict, float, list[tuple]]:
    """The settings, the clock at the start and the events of a stream."""
    stream = Stream(family, seed, EVENTS)
    begin, stream.node = stream.now, Recorder(stream.node)
    stream.run()
    return stream.options, begin, stream.node.events


def replay(node: Node, events: list[tuple]) -> float:
    """Seconds for all events, with the driver's own few steps about each."""
    take, begun = node.take, time.perf_counter()
    for now, word, values in events:
        take(now, word, values)
    return time.perf_counter() - begun


@click.command()
@click.option("--rounds", default=5, show_default=True)
def main(rounds: int) -> None:
    total, count = 0.0, 0
    for family, seed in STREAMS:
        options, begin, events = recorded(family, seed)
        least = float("inf")
        for _ in range(rounds):
            gc.collect()
            least = min(least, replay(Node(options, seed, begin), events))
        gc.collect()
        tracemalloc.start()
        node = Node(options, seed, begin)
        replay(node, events)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        total, count = total + least, count + len(events)
        click.echo(
            f"{family}-{seed}: {1e6 * least / len(events):.2f} us an event, "
            f"peak {peak / 1024:.0f} KiB, {len(events)} events"
        )
    click.echo(f"all: {1e6 * total / count:.2f} us an event")


if __name__ == "__main__":
    main()
