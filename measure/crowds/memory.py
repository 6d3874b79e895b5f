"""The memory of a process."""

from __future__ import annotations

import re
from pathlib import Path


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB; 0 if it has ended."""
    try:
        found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return 0.0
    return int(found[1]) / 1024 if found else 0.0
