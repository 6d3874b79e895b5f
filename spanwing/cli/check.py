"""All that is wrong with a configuration, each fault with how to mend it."""

from __future__ import annotations

import os
import re
from typing import NamedTuple

from spanwing.config import CHECK_SOCKETS, MIN_CORES, MIN_MB, MIN_SOCKETS, load, read_fronts
from spanwing.faults import Faults
from spanwing.frontsfile import (
    LEAST_LEASE_MS,
    Fronts,
    balancers_of,
    journal_of,
    log_of,
    opened,
    policy_of,
    proxied_of,
    store_of,
    zones_of,
)

#: By the setting's name, first match: what to do about it.
MEND = (
    (r"limits\.sockets", f"give it {MIN_SOCKETS}, and {CHECK_SOCKETS} for each listener for balancers"),
    (r"limits\.memory_mb", f"give it {MIN_MB} MB or more"),
    (r"limits\.cores", f"give it {MIN_CORES} of a core or more"),
    (
        r".*(listen|LISTEN|DISCOVERY|discovery)|store\.peers\..*|zones\.members\..*",
        "write HOST:PORT with a numeric host, as 127.0.0.1:7420 or [::1]:7420; port 0 lets the system choose",
    ),
    (r"seed", "write it as hexadecimal digits"),
    (r"settings\.(balancers|position)", "balancers counts all schedulers from 1, position ours from 0"),
    (r"settings\.classes.*", "each class needs a name of its own, aim_ms above 0, deadline_ms not below it"),
    (r"settings.*", "compare it with the settings object that the platform hands out"),
    (r"admin\.socket", "name an absolute path of at most 100 bytes in a folder that is there"),
    (r"journal\.directory", "name an absolute path on a disk that lasts, as /var/lib/spanwing/journal"),
    (r"journal\..+", "see docs/operators/journal.md for what suits which rate"),
    (r"grpc|proxy|log\.form|journal", "install the extra: pip install 'spanwing[tools]'"),
    (r"proxy\.fronts", "list clients, faktory or health"),
    (r"proxy\.sources", "list the balancers' addresses or networks, as 10.0.0.7 or 10.0.0.0/24"),
    (r"log\.per_second", "5 lines of one event in a second suit most"),
    (r"balancers\.?.*", "leave the setting out for its default; see docs/operators/balancers.md"),
    (r"zones\.members", "list every member of the store by its store.member, the same at all schedulers"),
    (r"zones\.lease_ms", f"{LEAST_LEASE_MS:g} or more: a scheduler renews three times within it"),
    (r"policy\.directory", "name a folder of this scheduler's own, on a disk that lasts"),
    (r"policy\.away_ms", "from zones.lease_ms to a day: a change waits so long for one without contact"),
    (r"policy", "add [zones] with members; leave ROUTER_FD out"),
    (r"zones\.regions.*", "list zones of the settings, each in one region at most"),
    (r"store\.directory", "name a folder that outlives the process"),
    (r"store.*", "see the store's table in README.md"),
    (r"ROUTER_CONFIG|SPANWING_FRONTS", "name a file that is there and has the form that README.md describes"),
)
UNKNOWN = "remove it, or correct its spelling"


class Fault(NamedTuple):
    setting: str
    fault: str
    mend: str


def check(config: str | None, fronts: str | None) -> list[Fault]:
    """Look at the platform's file, the fronts file, or both; an empty list if all is well."""
    faults = Faults(collect=True)
    environment = dict(os.environ)
    if fronts:
        environment["SPANWING_FRONTS"] = fronts
    if config:
        environment["ROUTER_CONFIG"] = config
        load(environment, faults=faults)
    else:
        table = read_fronts(environment.get("SPANWING_FRONTS"), faults) or Fronts()
        balancers_of(table, faults)
        proxied_of(table.proxy, faults)
        log_of(table.log, faults)
        store_of(table.store, faults)
        journal_of(table.journal, faults)
        policy_of(table.policy, zones_of(table.zones, table.store, faults), faults)
        opened("faktory", table.faktory, faults)
    return [Fault(setting, fault, mend(setting, fault)) for setting, fault in faults.found]


def mend(setting: str, fault: str) -> str:
    if fault.startswith("unknown"):
        return UNKNOWN
    if fault.startswith("Invalid enum"):
        return "plain, keys and json are possible" if setting == "log.form" else "correct its spelling"
    if fault == "is missing":
        return "add it"
    return next((text for pattern, text in MEND if re.fullmatch(pattern, setting)), "correct the value")
