"""The statistics that the management address, the counters and the health reports show.

Nothing is counted here. Outcomes and attempts are counters of the request manager, which increments them when
it gives the final answer or learns that a last byte was written, for every front end and worker connection.
`active` and the two pool statistics are read from the request manager at the time of the call. All reports
use collect_statistics(), so they agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from spanwing.core.request_manager import RequestManager

#: By statistic, the per-class counters that it sums. `turned` counts the requests that a front end rejected,
#: `repeated` those whose id had been accepted before.
COUNTERS_BY_STATISTIC = {
    "ok": ("answered.served",),
    "shed": ("answered.refused", "turned"),
    "errors": ("answered.failed", "repeated"),
}


def collect_statistics(request_manager: RequestManager) -> dict[str, int]:
    """Returns all statistics by name; outcomes and attempts are counted from the start of the process.

    `ok`, `shed` and `errors` are reported by class, as `STATISTIC.CLASS`. `tries` counts the attempts whose
    last byte was written, `active` the requests that wait for their answer, `pool_size` the listed workers
    and `pool_ejected` those of them that are ejected now.
    """
    counts = request_manager.counters
    totals = {
        f"{statistic}.{each.name}": sum(counts[f"{counter}.{each.name}"] for counter in counter_names)
        for statistic, counter_names in COUNTERS_BY_STATISTIC.items()
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
