"""The `spanwing` command: its group, and the subcommands that run, check or control one daemon.

Exit statuses: 0 success; 1 the daemon rejected the command, the configuration has faults, or the daemon
accepts no new work (status --exit-code); 2 wrong usage; 3 no daemon can be reached; 4 a drain did not end in
time.
"""

from __future__ import annotations

import json
import os
import sys
import time
from importlib import import_module
from typing import Any

import click

from spanwing.cli import client
from spanwing.cli.check import check_configuration

EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_DRAIN_TIMEOUT = 1, 3, 4
POLL_INTERVAL_S = 0.1  # between two reads of the status during a drain

socket_option = click.option(
    "--socket",
    "path",
    envvar="SPANWING_ADMIN",
    metavar="PATH",
    help="The daemon's admin socket [default: admin.socket of the fronts file].",
)
fronts_option = click.option(
    "--fronts",
    envvar="SPANWING_FRONTS",
    metavar="FILE",
    help="The fronts file [default: deploy/fronts.toml].",
)
member_option = click.option(
    "--member",
    default="",
    metavar="NAME",
    help="Another member of the store, which the order reaches through the store.",
)


class LazyGroup(click.Group):
    """A group that imports the modules of some commands only when they run.

    `serve` starts the daemon, which must not load the packages that these commands need.
    """

    lazy_commands = ("experiment", "journal", "load", "policy", "zones")

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, imported or not."""
        return sorted([*super().list_commands(ctx), *self.lazy_commands])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns a command; imports its module if needed."""
        if name in self.lazy_commands:
            return getattr(import_module(f"spanwing.cli.{name}"), name)
        return super().get_command(ctx, name)


@click.group(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100}
)
@click.version_option(package_name="spanwing", prog_name="spanwing")
def cli() -> None:
    """A job scheduler for building-control jobs.

    Exit statuses: 0 done, 1 refused or faulty, 2 wrong usage, 3 no daemon reached, 4 not drained in time.
    """


@cli.command()
@click.option("--config", metavar="FILE", help="The platform's file [default: ROUTER_CONFIG].")
@fronts_option
def serve(config: str | None, fronts: str | None) -> None:
    """Run the daemon in the foreground, until SIGTERM."""
    if config:
        os.environ["ROUTER_CONFIG"] = config
    if fronts:
        os.environ["SPANWING_FRONTS"] = fronts
    from spanwing.daemon import serve as serve_daemon

    raise SystemExit(serve_daemon())


@cli.command()
@click.argument("config", metavar="CONFIG")
@fronts_option
def check(config: str, fronts: str | None) -> None:
    """Name everything that is wrong with CONFIG, and how to mend it.

    CONFIG is the platform's JSON file, which is checked together with the fronts file; or a fronts file
    alone, by its ending .toml.
    """
    is_operator_file_only = config.endswith(".toml")
    faults = check_configuration(
        None if is_operator_file_only else config, config if is_operator_file_only else fronts
    )
    for setting, problem, remedy in faults:
        click.echo(f"{setting}: {problem}\n    to mend it: {remedy}", err=True)
    if faults:
        click.echo(f"{len(faults)} fault{'s' if len(faults) > 1 else ''} in {config}", err=True)
        raise SystemExit(EXIT_REFUSED)
    click.echo(f"{config} is good")


@cli.command()
@socket_option
@fronts_option
@click.option("--json", "as_json", is_flag=True, help="Everything that is known, as JSON.")
@click.option("--watch", is_flag=True, help="Again every second, until interrupted.")
@click.option("--exit-code", is_flag=True, help="Exit with 1 while no new work is taken.")
def status(path: str | None, fronts: str | None, as_json: bool, watch: bool, exit_code: bool) -> None:
    """Show the daemon's state, its weight and the reasons."""
    print_reply = _print_json if as_json else _print_status
    path = client.socket_path(path, fronts)
    if watch:
        for reply in client.stream_replies(path, do="watch"):
            print_reply(reply)
        return
    reply = client.send_command(path, do="status")
    print_reply(reply)
    if exit_code and reply["status"] == "fail":
        raise SystemExit(EXIT_REFUSED)


@cli.command()
@socket_option
@fronts_option
@click.option(
    "--within",
    type=click.FloatRange(min=0, min_open=True, max=86_400),
    metavar="SECONDS",
    help="Have everything answered after so long, and wait for it.",
)
@member_option
def drain(path: str | None, fronts: str | None, within: float | None, member: str) -> None:
    """Announce a drain to every balancer, answer what was taken, take nothing new."""
    path = client.socket_path(path, fronts)
    reply = client.send_command(path, do="drain", within_s=within, member=member)
    if member:
        click.echo(f"{member}: drain ordered")
        return
    if within is not None:
        deadline_s = time.monotonic() + within
        while reply["state"] != "drained":
            if time.monotonic() >= deadline_s:
                click.echo(
                    f"not drained within {within:g} s: {reply['owed']} requests are unanswered", err=True
                )
                raise SystemExit(EXIT_DRAIN_TIMEOUT)
            time.sleep(min(POLL_INTERVAL_S, max(0.0, deadline_s - time.monotonic())))
            reply = client.send_command(path, do="status")
    _print_status(reply)


@cli.command()
@socket_option
@fronts_option
@member_option
def undrain(path: str | None, fronts: str | None, member: str) -> None:
    """Withdraw a drain and go back to serving."""
    reply = client.send_command(client.socket_path(path, fronts), do="undrain", member=member)
    if member:
        click.echo(f"{member}: undrain ordered")
    else:
        _print_status(reply)


@cli.command()
@click.argument("percent", type=click.FloatRange(0, 100))
@socket_option
@fronts_option
def weight(percent: float, path: str | None, fronts: str | None) -> None:
    """Tell balancers PERCENT of the weight at most; 100 withdraws it, 0 turns new work away."""
    _print_status(client.send_command(client.socket_path(path, fronts), do="weight", percent=percent))


def _print_status(reply: dict[str, Any]) -> None:
    click.echo(
        f"{reply['name']}: {reply['state']}, weight {reply['weight']}%, "
        f"since {reply['since_s']:.0f} s, {reply['owed']} unanswered"
    )
    for name, count in reply.get("counters", {}).items():
        if name.startswith("violation."):
            click.echo(f"    rule violated: {name.removeprefix('violation.')}, {count} times; see the log")
    for note in reply["notes"]:
        click.echo(f"    {note}")
    for name, (observed, *_) in reply["checks"].items():
        if observed.get("status") == "fail":
            click.echo(f"    {name}: {observed.get('output') or 'fail'}")


def _print_json(reply: dict[str, Any]) -> None:
    click.echo(json.dumps(reply))


def main(arguments: list[str] | None = None) -> int:
    """Runs the command that the arguments name (default: those of the process); returns the exit status."""
    try:
        cli.main(args=arguments, prog_name="spanwing", standalone_mode=False)
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.ClickException as usage_error:
        usage_error.show()
        return usage_error.exit_code
    except (click.Abort, KeyboardInterrupt, BrokenPipeError):
        return 130
    except client.DaemonUnreachableError as error:
        click.echo(f"spanwing: no daemon reached: {error}", err=True)
        return EXIT_UNREACHABLE
    except client.CommandRefusedError as error:
        click.echo(f"spanwing: refused: {error}", err=True)
        return EXIT_REFUSED
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
