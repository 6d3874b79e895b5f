"""A stream that a test leaves open is an error of that test."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from player import ROOT

LEAKING_TEST = """
import asyncio

HELD = []

async def leak(is_held, is_closed):
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.cycle = writer  # only the garbage collector frees it
    if is_closed:
        writer.close()
    if is_held:
        HELD.append(writer)
    server.close()

def test_leak():
    asyncio.run(leak({is_held}, {is_closed}))

def test_after_it():
    pass
"""


@pytest.mark.parametrize("is_held", [False, True])
@pytest.mark.parametrize("is_closed", [False, True])
def test_open_stream_is_an_error_of_the_test_that_leaves_it(
    tmp_path: Path, is_held: bool, is_closed: bool
) -> None:
    file = tmp_path / "test_leak.py"
    file.write_text(LEAKING_TEST.format(is_held=is_held, is_closed=is_closed))
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "stream_leaks",
        "-p",
        "no:cacheprovider",
        str(file),
    ]
    environment = {"PYTHONPATH": str(ROOT / "tests"), "PATH": ""}
    process = subprocess.run(command, cwd=tmp_path, env=environment, capture_output=True, text=True)
    if is_closed:
        assert "2 passed" in process.stdout
    else:
        assert "ERROR test_leak.py::test_leak - AssertionError: a stream has to be closed" in process.stdout
        assert "test_after_it" not in process.stdout
