"""`spanwing zones`: shows the state of the fleet's zones at one daemon, and orders zones to change.

An order that fails prints one line with the reason; the exit status is then not 0.
"""

from __future__ import annotations

import json
import time
from datetime import UTC, datetime
from typing import Any

import click

from spanwing.cli import client
from spanwing.cli.main import fronts_option, socket_option

WATCH_INTERVAL_S = 1.0
json_option = click.option("--json", "as_json", is_flag=True, help="Everything that is known, as JSON.")


@click.group(invoke_without_command=True)
@socket_option
@fronts_option
@json_option
@click.option("--watch", is_flag=True, help="Again every second, until interrupted.")
@click.pass_context
def zones(ctx: click.Context, path: str | None, fronts: str | None, as_json: bool, watch: bool) -> None:
    """Show the state of each zone, why it is so, and what is seen of it here."""
    ctx.obj = path, fronts
    if ctx.invoked_subcommand is not None:
        return
    path = client.socket_path(path, fronts)
    while True:
        reply = client.send_command(path, do="zones")
        click.echo(json.dumps(reply) if as_json else _format_zones(reply))
        if not watch:
            return
        time.sleep(WATCH_INTERVAL_S)


def _add_order_command(command_name: str, help_text: str, has_duration: bool = False) -> None:
    """Adds a command for an order, with the option --over if has_duration is set."""

    @zones.command(command_name, help=help_text)
    @click.argument("name")
    @socket_option
    @fronts_option
    @click.pass_context
    def order(
        ctx: click.Context, name: str, path: str | None, fronts: str | None, duration_s: float | None = None
    ) -> None:
        path = client.socket_path(path or ctx.obj[0], fronts or ctx.obj[1])
        click.echo(
            client.send_command(path, do="zones_order", order=command_name, zone=name, within_s=duration_s)[
                "text"
            ]
        )

    if has_duration:
        click.option(
            "--over",
            "duration_s",
            type=click.FloatRange(min=0, min_open=True, max=3600),
            metavar="SECONDS",
            help="In quarters over so long, not at once.",
        )(order)


_add_order_command(
    "leave", "Leave a zone or region NAME, and stay away until it is ordered otherwise.", has_duration=True
)
_add_order_command("return", "Return to NAME, which was left, step by step.")
_add_order_command("hold", "Keep NAME as it is, whatever is seen of it.")
_add_order_command("release", "Let NAME change by itself again.")


@zones.command()
@socket_option
@fronts_option
@json_option
@click.pass_context
def history(ctx: click.Context, path: str | None, fronts: str | None, as_json: bool) -> None:
    """Show the last changes, the newest last."""
    path = client.socket_path(path or ctx.obj[0], fronts or ctx.obj[1])
    reply = client.send_command(path, do="zones_history")
    if as_json:
        click.echo(json.dumps(reply["history"]))
        return
    for change in reply["history"]:
        changed_at = datetime.fromtimestamp(change["wall_ms"] / 1000.0, UTC).isoformat(
            timespec="milliseconds"
        )
        progress = f" step {change['step']}" if change["step"] else ""
        progress += f" {change['share']:.0%} in use" if change["share"] else ""
        click.echo(
            f"{change['number']:>5}  {changed_at}  {change['zone']}: {change['state']}{progress}  "
            f"({change['reason']}; by {change['author']})"
        )


def _format_zones(reply: dict[str, Any]) -> str:
    contact_text = f"in contact through {reply['by']}" if reply["contact"] else f"no contact: {reply['why']}"
    lines = [f"{reply['name']}: {contact_text}, revision {reply['revision']}"]
    for name, zone in reply["zones"].items():
        state = zone["state"] + (f" step {zone['step']} of {zone['steps']}" if zone["step"] else "")
        state += ", held" if zone["held"] else ""
        lines.append(
            f"    {name}: {state}, number {zone['number']}, "
            f"{zone['used']} of {zone['workers']} workers used here, "
            f"{zone['seen_good']} seen good, {zone['seen_bad']} bad"
        )
        if zone["reason"]:
            lines.append(f"        {zone['reason']}, by {zone['author']}")
    return "\n".join(lines)
