"""The adapter's protocol byte for byte: recorded input lines must give the recorded output lines.

The input has eight nodes, a crash, and messages and keys that the protocol does not know. It has no invalid
settings, since the text of that error is not part of the protocol; tests/test_adapter.py checks those.

    .venv/bin/python tests/test_adapter_golden.py --write     # by hand; the test never writes
"""

from __future__ import annotations

import io
import sys
from pathlib import Path

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parent.parent))

# -- identifiers of the program: only here
from spanwing.adapter import serve

GOLDEN = Path(__file__).parent / "golden"


def run_recorded_input() -> bytes:
    sink = io.BytesIO()
    with (GOLDEN / "adapter-input.txt").open("rb") as source:
        assert serve(source, sink) == 0
    return sink.getvalue()


def test_recorded_input_gives_the_recorded_output():
    found = run_recorded_input().splitlines(keepends=True)
    recorded = (GOLDEN / "adapter-output.txt").read_bytes().splitlines(keepends=True)
    differ = [
        number for number, pair in enumerate(zip(found, recorded, strict=False), 1) if pair[0] != pair[1]
    ]
    assert found == recorded, (
        f"{len(found)} lines instead of {len(recorded)}, the first that differ: {differ[:5]}"
    )


def test_recording_has_every_action():
    names = {line.split(b'"')[1] for line in (GOLDEN / "adapter-output.txt").read_bytes().splitlines()}
    assert names >= {
        b"CallOut",
        b"CallOff",
        b"Deny",
        b"EndFailed",
        b"SetTimer",
        b"Poll",
        b"Observe",
        b"Record",
        b"Eor",
    }


if __name__ == "__main__" and sys.argv[1:] == ["--write"]:
    (GOLDEN / "adapter-output.txt").write_bytes(run_recorded_input())
