"""The figures that operators read, under the names of their page.

Nothing is counted here. Outcomes and attempts are the request manager's own counters, incremented where it
gives the final answer or learns of a last byte, for every frontend and worker connection alike; `active`
and the two pool figures are read from the request manager and the scheduler at the time of the call. All
reports (management, counters, health) use this function, so they agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from spanwing.core.request_manager import RequestManager

#: By figure, the per-class counters that it sums. A request rejected by a frontend counts as shed too, and a
#: request whose id had been accepted before counts as an error.
COUNTERS_BY_FIGURE = {
    "ok": ("answered.served",),
    "shed": ("answered.refused", "turned"),
    "errors": ("answered.failed", "repeated"),
}


def collect_statistics(request_manager: RequestManager) -> dict[str, int]:
    """Returns all figures as of now; counts run from the start of the process."""
    counts = request_manager.counters
    totals = {
        f"{name}.{each.name}": sum(counts[f"{part}.{each.name}"] for part in parts)
        for name, parts in COUNTERS_BY_FIGURE.items()
        for each in request_manager.settings.classes
    }
    listed, ejected = request_manager.pool_counts()
    return {
        **totals,
        "tries": counts["tries"],
        "active": len(request_manager.pending_requests),
        "pool_size": listed,
        "pool_ejected": ejected,
    }
