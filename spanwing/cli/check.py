"""`spanwing check`: finds all faults of a configuration and names a remedy for each."""

from __future__ import annotations

import os
import re
from typing import NamedTuple

from spanwing.config import (
    MIN_CORES,
    MIN_MEMORY_MB,
    MIN_SOCKETS,
    SOCKETS_PER_BALANCER_LISTENER,
    load_configuration,
    read_operator_file,
)
from spanwing.config_errors import ErrorCollector
from spanwing.operator_file import (
    MIN_LEASE_MS,
    OperatorFile,
    check_balancers,
    check_journal,
    check_log,
    check_policy,
    check_proxy_protocol,
    check_store,
    check_zones,
    parse_listen_address,
)

#: Pairs of a pattern for the name of a setting and the remedy; the first pattern that matches applies.
REMEDIES = (
    (
        r"limits\.sockets",
        f"give it {MIN_SOCKETS}, and {SOCKETS_PER_BALANCER_LISTENER} for each listener for balancers",
    ),
    (r"limits\.memory_mb", f"give it {MIN_MEMORY_MB} MB or more"),
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
    (r"zones\.lease_ms", f"{MIN_LEASE_MS:g} or more: a scheduler renews three times within it"),
    (r"policy\.directory", "name a folder of this scheduler's own, on a disk that lasts"),
    (r"policy\.away_ms", "from zones.lease_ms to a day: a change waits so long for one without contact"),
    (r"policy", "add [zones] with members; leave ROUTER_FD out"),
    (r"zones\.regions.*", "list zones of the settings, each in one region at most"),
    (r"store\.directory", "name a folder that outlives the process"),
    (r"store.*", "see the store's table in README.md"),
    (r"ROUTER_CONFIG|SPANWING_FRONTS", "name a file that is there and has the form that README.md describes"),
)
UNKNOWN_SETTING_REMEDY = "remove it, or correct its spelling"


class ConfigurationFault(NamedTuple):
    """One fault of a configuration and its remedy."""

    setting: str
    problem: str
    remedy: str


def check_configuration(config: str | None, operator_file: str | None) -> list[ConfigurationFault]:
    """Checks the platform's file together with the operator's file, or the operator's file alone.

    config, operator_file: paths; without config, only the operator's file is checked. Without operator_file,
    SPANWING_FRONTS or the default path applies. Returns the faults, in the order in which they are found.
    """
    errors = ErrorCollector(collects_all=True)
    environment = dict(os.environ)
    if operator_file:
        environment["SPANWING_FRONTS"] = operator_file
    if config:
        environment["ROUTER_CONFIG"] = config
        load_configuration(environment, errors=errors)
    else:
        table = read_operator_file(environment.get("SPANWING_FRONTS"), errors) or OperatorFile()
        check_balancers(table, errors)
        check_proxy_protocol(table.proxy, errors)
        check_log(table.log, errors)
        check_store(table.store, errors)
        check_journal(table.journal, errors)
        check_policy(table.policy, check_zones(table.zones, table.store, errors), errors)
        parse_listen_address("faktory", table.faktory, errors)
    return [
        ConfigurationFault(setting, problem, remedy_for(setting, problem))
        for setting, problem in errors.errors
    ]


def remedy_for(setting: str, problem: str) -> str:
    """Returns the remedy for a problem with a setting: by the problem's text, or else by the setting."""
    if problem.startswith("unknown"):
        return UNKNOWN_SETTING_REMEDY
    if problem.startswith("Invalid enum"):
        return "plain, keys and json are possible" if setting == "log.form" else "correct its spelling"
    if problem == "is missing":
        return "add it"
    return next((text for pattern, text in REMEDIES if re.fullmatch(pattern, setting)), "correct the value")
