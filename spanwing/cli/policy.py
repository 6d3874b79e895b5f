"""`spanwing policy`: shows the fleet's policy as one daemon follows it, and proposes changes.

A proposal is adopted or fails with a reason; the exit status is 0 if it was adopted, else 1.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import Any

import click

from spanwing.cli import client
from spanwing.cli.main import fronts_option, socket_option

# While a proposal is under way, the history is read at this interval. The command waits for the outcome for
# the extra time after the fleet's own time limit.
POLL_INTERVAL_S, EXTRA_WAIT_S = 0.1, 10.0
json_option = click.option("--json", "as_json", is_flag=True, help="Everything that is known, as JSON.")


@click.group()
@socket_option
@fronts_option
@click.pass_context
def policy(ctx: click.Context, path: str | None, fronts: str | None) -> None:
    """One policy for all schedulers: look at it, change it."""
    ctx.obj = path, fronts


def pass_path(command: Callable[..., None]) -> Callable[..., None]:
    """Passes the path of the admin socket to a command.

    The path is resolved when the command runs, so that its help needs no daemon and no operator's file.
    """

    @click.pass_obj
    @wraps(command)
    def run(socket_options: tuple[str | None, str | None], *args: Any, **kwargs: Any) -> None:
        command(client.socket_path(*socket_options), *args, **kwargs)

    return run


@policy.command()
@json_option
@pass_path
def status(path: str, as_json: bool) -> None:
    """Show the version here, whether a change is under way, and on whom it waits."""
    reply = client.send_command(path, do="policy")
    if reply["change"] is not None and reply["contact"]:
        reply["waits"] = client.send_command(path, do="policy_order", order="waits")["text"]
    click.echo(json.dumps(reply) if as_json else _format_status(reply))


@policy.command()
@json_option
@pass_path
def history(path: str, as_json: bool) -> None:
    """Show how the last changes ended, the newest last."""
    changes = client.send_command(path, do="policy_history")["history"]
    if as_json:
        click.echo(json.dumps(changes))
        return
    for change in changes:
        changed_at = datetime.fromtimestamp(change["wall_ms"] / 1000.0, UTC).isoformat(
            timespec="milliseconds"
        )
        outcome = "taken" if change["taken"] else "not taken"
        click.echo(
            f"{change['number']:>5}  {changed_at}  {outcome}  {change['digest']}  "
            f"({change['reason']}; by {change['author']})"
        )


@policy.command()
@click.argument("version", type=int, default=0)
@pass_path
def show(path: str, version: int) -> None:
    """Print version VERSION, or the one in force."""
    click.echo(_format_json(client.send_command(path, do="policy_text", version=version)["text"]))


@policy.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@pass_path
def check(path: str, file: str) -> None:
    """Whether FILE could be taken over by this scheduler now."""
    _raise_if_refused(client.send_command(path, do="policy_check", text=_read_text(file))["no"])
    click.echo("valid: this scheduler could adopt it now")


@policy.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@pass_path
def diff(path: str, file: str) -> None:
    """What FILE would change of the version in force."""
    from spanwing.policy.validation import describe_differences

    for line in describe_differences(client.send_command(path, do="policy_text")["text"], _read_text(file)):
        click.echo(line)


@policy.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(1, 86_400),
    default=60.0,
    show_default=True,
    help="Seconds until the change ends as nowhere.",
)
@click.option("--base", type=int, help="The version that FILE was made from [default: the one here].")
@click.option("--reason", default="", help="Stands in the history.")
@click.option(
    "--gone",
    multiple=True,
    metavar="NAME",
    help="Your word that this scheduler is gone for good, and takes no jobs.",
)
@click.option("--by", default="operator", show_default=True)
@pass_path
def propose(
    path: str, file: str, wait_s: float, base: int | None, reason: str, gone: tuple[str, ...], by: str
) -> None:
    """Have all schedulers take over FILE, or none."""
    _propose(path, _read_text(file), wait_s, base, reason, gone, by)


@policy.command()
@click.argument("version", type=int)
@click.option("--wait", "wait_s", type=click.FloatRange(1, 86_400), default=60.0, show_default=True)
@click.option("--by", default="operator", show_default=True)
@pass_path
def rollback(path: str, version: int, wait_s: float, by: str) -> None:
    """Have all take over the text of an earlier VERSION, as a new one."""
    text = client.send_command(path, do="policy_text", version=version)["text"]
    _propose(path, text, wait_s, None, f"as version {version}", (), by)


@policy.command()
@click.option("--by", default="operator", show_default=True)
@pass_path
def abort(path: str, by: str) -> None:
    """Give up the change that is under way; nobody takes it over."""
    click.echo(client.send_command(path, do="policy_order", order="abort", by=by)["text"])


def _propose(
    path: str, text: str, wait_s: float, base: int | None, reason: str, gone: tuple[str, ...], by: str
) -> None:
    """Proposes a policy text and waits until it is adopted, with progress on standard error.

    Raises client.CommandRefusedError if it is invalid, not adopted, or its outcome does not arrive in time.
    """
    current = client.send_command(path, do="policy")
    base = current["in_force"] if base is None else base
    # An invalid text fails here, before any other scheduler is asked.
    _raise_if_refused(client.send_command(path, do="policy_check", text=text)["no"])
    earlier_changes = client.send_command(path, do="policy_history")["history"]
    unconfirmed_error = None
    try:
        client.send_command(
            path,
            do="policy_order",
            order="propose",
            text=text,
            base=base,
            reason=reason,
            within_s=wait_s,
            gone=list(gone),
            by=by,
        )
    except client.CommandRefusedError as error:
        if "may still take hold" not in str(error):
            raise
        unconfirmed_error = error  # the order got no answer: the history shows whether it arrived
    started_s, last_waits = time.monotonic(), ""
    deadline_s = started_s + wait_s + EXTRA_WAIT_S
    while time.monotonic() < deadline_s:
        changes = client.send_command(path, do="policy_history")["history"]
        outcomes = [
            change for change in changes if change not in earlier_changes and change["number"] == base + 1
        ]
        if outcomes:
            outcome = outcomes[-1]
            if outcome["taken"]:
                click.echo(f"version {base + 1} is in force")
                return
            raise client.CommandRefusedError(f"version {base + 1} was not taken: {outcome['reason']}")
        current = client.send_command(path, do="policy")
        if (
            unconfirmed_error is not None
            and current["change"] is None
            and time.monotonic() > started_s + EXTRA_WAIT_S / 2
        ):
            raise unconfirmed_error
        try:
            waits = client.send_command(path, do="policy_order", order="waits")["text"]
        except client.CommandRefusedError:
            waits = ""
        if waits and waits != last_waits:
            click.echo(f"waits: {waits}", err=True)
            last_waits = waits
        time.sleep(POLL_INTERVAL_S)
    raise client.CommandRefusedError(
        f"the outcome of version {base + 1} is unknown here: see the policy history at another scheduler"
    )


def _raise_if_refused(reason: str) -> None:
    """Raises client.CommandRefusedError with this reason, unless it is empty."""
    if reason:
        raise client.CommandRefusedError(reason)


def _read_text(file: str) -> str:
    return Path(file).read_text()


def _format_json(text: str) -> str:
    return json.dumps(json.loads(text), indent=2)


def _format_status(reply: dict[str, Any]) -> str:
    permit = f"a permit for {reply['permit_ms'] / 1000:.1f} s" if reply["permit_ms"] else "no permit"
    lines = [
        f"{reply['name']}: version {reply['version']} ({reply['digest']}), by {reply['author']}, {permit}"
    ]
    if reply["may"] != "take":
        lines.append(f"    accepts no jobs: {reply['why']}")
    if reply["open_under_earlier"]:
        lines.append(f"    {reply['open_under_earlier']} open jobs follow earlier versions")
    change = reply["change"]
    if change is not None:
        local_state = "ready" if change["ready"] else change["no"]
        lines.append(
            f"    version {change['version']} by {change['author']} is {change['state']}, here "
            f"{local_state}; waits for: {reply.get('waits') or 'nobody'}"
        )
    lines.append(f"    schedulers: {', '.join(reply['schedulers'])}")
    return "\n".join(lines)
