"""`spanwing load`: an open-loop load test that sends the requests of a scenario to running schedulers."""

from __future__ import annotations

import asyncio
import itertools
import json
import secrets

import click

from spanwing.config_errors import ErrorCollector
from spanwing.load.openloop import LoadTestResult, OpenLoopGenerator
from spanwing.simulation.clients import ClientModel
from spanwing.simulation.random_streams import RandomStreams
from spanwing.simulation.scenario import load_scenario

EXIT_INVALID_SCENARIO, EXIT_BROKEN_ANSWER = 1, 1


def parse_host_port(text: str) -> tuple[str, int]:
    """Returns host and port of "HOST:PORT". Raises click.UsageError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise click.UsageError(f"{text!r} is not of the form HOST:PORT")
    return host.strip("[]"), int(port)


@click.command()
@click.argument("scenario")
@click.option(
    "--to",
    "endpoints",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="A scheduler's clients' address; several are asked in turn.",
)
@click.option(
    "--rate", type=click.FloatRange(0.01, 100_000), help="Requests a second [default: the scenario's]."
)
@click.option("--seconds", type=click.FloatRange(0.1, 86_400), help="[default: the scenario's].")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--most", type=click.IntRange(1, 60_000), default=2000, show_default=True, help="Connections.")
@click.option("--json", "as_json", is_flag=True, help="The report as JSON.")
def load(
    scenario: str,
    endpoints: tuple[str, ...],
    rate: float | None,
    seconds: float | None,
    seed: int,
    most: int,
    as_json: bool,
) -> None:
    """Send SCENARIO's requests to schedulers at its own times, whatever they answer.

    Latencies count from when a request was due: a scheduler that stalls is charged for all that came
    meanwhile. Exit status 1 where an answer was missing or broken.
    """
    errors = ErrorCollector(collects_all=True)
    parsed_scenario = load_scenario(scenario, errors)
    if parsed_scenario is None:
        for path, message in errors.errors:
            click.echo(f"{path}: {message}", err=True)
        raise SystemExit(EXIT_INVALID_SCENARIO)
    plan = parsed_scenario.build_plan(seed)
    load_spec = plan.load._replace(rate=rate or plan.load.rate)
    clients = ClientModel(load_spec, plan.classes, plan.tenants, RandomStreams(seed))
    requests = iter(clients.next_request, None)

    async def run() -> LoadTestResult:
        return await OpenLoopGenerator(
            [parse_host_port(each) for each in endpoints], secrets.token_hex(4), most
        ).run(itertools.chain(requests), seconds or parsed_scenario.seconds)

    report = asyncio.run(run())
    if as_json:
        click.echo(json.dumps({**report._asdict(), "warning": report.warning}))
    else:
        print_report(report)
    if report.kinds.get("broken"):
        raise SystemExit(EXIT_BROKEN_ANSWER)


def print_report(report: LoadTestResult) -> None:
    """Prints the result of a load test: the requests by outcome, and a table of times (ms) by percentile.

    Latency counts from when a request was due, service time from when it was written.
    """
    click.echo(
        f"{report.asked} requests in {report.seconds:.1f} s: "
        + ", ".join(f"{count} {kind}" for kind, count in sorted(report.kinds.items()))
    )
    rows = {
        "all, latency": report.latency,
        "all, service time": report.service,
        **{f"{name}, latency": each for name, each in report.by_class.items()},
        "generator lateness": report.late,
    }
    click.echo(f"{'ms at percentile':<30}" + "".join(f"{each:>10}" for each in report.latency))
    for name, each in rows.items():
        click.echo(f"{name:<30}" + "".join(f"{value:>10.1f}" for value in each.values()))
    if report.warning:
        click.echo(f"warning: {report.warning}", err=True)
