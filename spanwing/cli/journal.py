"""`spanwing journal`: what was sent, to whom and when; beside a living daemon or after a dead one."""

from __future__ import annotations

import csv
import json
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from spanwing.frontsfile import FILE, Fronts
from spanwing.journal.book import Book
from spanwing.journal.files import Folder, InUse
from spanwing.journal.frames import Frame, Skipped
from spanwing.journal.query import FIELDS, Plan, QueryError, parse
from spanwing.journal.repair import steps, take
from spanwing.journal.rows import Row, rows_of

FAULTY, NOTHING = 1, 1
TAIL_S = 0.2
BATCH = 10_000  # rows of a Parquet group
TIMES = ("time", "intent", "last_byte", "answered")


class Closing(click.ClickException):
    """A fault told in one line."""

    exit_code = FAULTY


def folder_of(directory: str | None, fronts: str | None) -> str:
    """From the flag, else the fronts file's journal.directory."""
    if directory:
        return directory
    file = Path(fronts or FILE)
    try:
        table = msgspec.toml.decode(file.read_bytes(), type=Fronts).journal
    except (OSError, ValueError) as error:
        raise Closing(f"no --directory was given, and {file} cannot be read: {error}") from None
    if table is None:
        raise Closing(f"no --directory was given, and {file} has no [journal] table")
    return table.directory


def book_of(directory: str | None, fronts: str | None) -> Book:
    try:
        return Book(folder_of(directory, fronts))
    except OSError as error:
        raise Closing(str(error)) from None


def plan_of(expression: str) -> Plan:
    try:
        return parse(expression, time.time() * 1000.0)
    except QueryError as error:
        mark = " " * (error.column - 1) + "^"
        raise click.UsageError(f"{error}\n    {expression[:200]}\n    {mark[:200]}") from None


def stamp(wall_ms: float | None) -> str:
    return (
        "-"
        if wall_ms is None
        else datetime.fromtimestamp(wall_ms / 1000.0).astimezone().isoformat(timespec="milliseconds")
    )


def plain(row: Row) -> dict[str, Any]:
    """As JSON has it; times in ISO 8601."""
    values = row._asdict()
    values["class"] = values.pop("cls")
    return {
        name: stamp(value) if name in TIMES and value is not None else value for name, value in values.items()
    }


def show_rows(rows: Iterable[Row], as_json: bool, limit: int) -> int:
    """Returns how many were shown."""
    shown = 0
    for row in rows:
        if limit and shown >= limit:
            click.echo(f"further ones are left out: --limit {limit}", err=True)
            break
        shown += 1
        if as_json:
            click.echo(json.dumps(plain(row)))
        else:
            attempt = "" if row.attempt is None else f"#{row.attempt} {row.worker} {row.address}"
            ended = row.result or row.given_up or ("left open by a crash" if row.closed else "")
            answer = row.answer or "no answer"
            click.echo(
                f"{stamp(row.intent or row.time)}  {row.state:<13}  {row.cls}  {row.request}  "
                f"{attempt}  {ended}  {answer}".rstrip()
            )
    return shown


directory_option = click.option(
    "--directory", metavar="DIR", help="The journal's folder [default: journal.directory of the fronts file]."
)
fronts_option = click.option("--fronts", envvar="SPANWING_FRONTS", metavar="FILE", help="The fronts file.")
json_option = click.option("--json", "as_json", is_flag=True, help="JSON, one object a line.")
limit_option = click.option("--limit", default=1000, show_default=True, help="Rows at most; 0: all.")


@click.group()
def journal() -> None:
    """What was sent of work that must not run twice, to whom and when.

    It reads the folder itself: beside a living daemon, which it does not disturb, or after a dead one.
    """


@journal.command("list")
@directory_option
@fronts_option
@json_option
@limit_option
def list_(directory: str | None, fronts: str | None, as_json: bool, limit: int) -> None:
    """All attempts that are possibly sent or sent and not known to have ended."""
    plan = plan_of("state in ('possibly sent', sent) and result = '' ")
    show_rows(book_of(directory, fronts).rows(plan), as_json, limit)


@journal.command()
@click.argument("request")
@directory_option
@fronts_option
@json_option
def show(request: str, directory: str | None, fronts: str | None, as_json: bool) -> None:
    """Everything that is known of one REQUEST; exit status 1 if that is nothing."""
    found = book_of(directory, fronts).request(request)
    if found is None:
        click.echo(f"{request}: not in the journal", err=True)
        raise SystemExit(NOTHING)
    if not as_json:
        click.echo(f"{request}: {found.finding}")
    show_rows(rows_of(found), as_json, 0)


@journal.command(
    epilog=f"Fields: {', '.join(FIELDS)}. Operators: = != < <= > >= ~ (pattern), in, not in, "
    "and, or, not. Times: 2026-12-01T06:30, now, -90s, -15m, -2h, -1d."
)
@click.argument("expression")
@directory_option
@fronts_option
@json_option
@limit_option
def query(expression: str, directory: str | None, fronts: str | None, as_json: bool, limit: int) -> None:
    """All attempts that match EXPRESSION, as: class = schedule-apply and worker = w3 and time > -2h."""
    show_rows(book_of(directory, fronts).rows(plan_of(expression)), as_json, limit)


@journal.command()
@click.option("-f", "--follow", is_flag=True, help="Go on with what is written from now on.")
@click.option("-n", "count", default=10, show_default=True, help="The last so many records first.")
@directory_option
@fronts_option
def tail(follow: bool, count: int, directory: str | None, fronts: str | None) -> None:
    """The last records, as they stand."""
    book, last = book_of(directory, fronts), 0
    kept: list[Frame] = []
    for _, each in book.frames():
        if isinstance(each, Frame):
            kept = [*kept, each][-count:] if count else []
            last = each.number
    for each in kept:
        _echo(each)
    while follow:
        time.sleep(TAIL_S)
        for _, each in book.frames(last):
            if isinstance(each, Frame):
                last = each.number
                _echo(each)


def _echo(frame: Frame) -> None:
    record = frame.record
    click.echo(
        json.dumps(
            {
                "number": frame.number,
                "record": type(record).__name__.lower(),
                "time": stamp(record.wall_ms),
                **msgspec.structs.asdict(record),
            }
        )
    )
    sys.stdout.flush()


@journal.command()
@directory_option
@fronts_option
def verify(directory: str | None, fronts: str | None) -> None:
    """Read everything; exit status 1 if a record that was acknowledged is missing or damaged."""
    book, whole, bad = book_of(directory, fronts), 0, 0
    for segment, each in book.frames():
        if isinstance(each, Skipped):
            harmless = book.harmless(each)
            bad += not harmless
            click.echo(f"{segment}: {each.reason}{' (a crash leaves that)' if harmless else ''}")
        else:
            whole += 1
    gaps = list(book.gaps())
    for gap in gaps:
        span = f"from {stamp(gap.since_wall_ms)} to {stamp(gap.wall_ms)}"
        click.echo(f"gap of {gap.count} records {span}: {gap.why}")
    click.echo(f"{whole} whole records, {bad} faults, {len(gaps)} gaps")
    if bad:
        raise SystemExit(FAULTY)


@journal.command()
@click.option("--dry-run", is_flag=True, help="Say what would be done, and do nothing.")
@directory_option
@fronts_option
def repair(dry_run: bool, directory: str | None, fronts: str | None) -> None:
    """Set damaged files aside and keep every whole record; the daemon must not run."""
    path = folder_of(directory, fronts)
    try:
        files = Folder(path, write=not dry_run)
    except InUse as error:
        raise Closing(f"{error}: stop the daemon first") from None
    except OSError as error:
        raise Closing(f"{path}: {error.strerror}") from None
    try:
        count = 0
        for step in list(steps(files)):
            count += step.what != "leave"
            click.echo(f"{step.file}: {step.what}: {step.why}")
            if not dry_run:
                take(files, step)
        click.echo(f"{count} step{'s' if count != 1 else ''} {'to do' if dry_run else 'done'}")
    finally:
        files.stop()


@journal.command()
@click.option(
    "--format", "form", type=click.Choice(["jsonl", "csv", "parquet"]), default="jsonl", show_default=True
)
@click.option("--out", type=click.Path(path_type=Path, dir_okay=False), help="A file; Parquet needs one.")
@click.argument("expression", default="")
@directory_option
@fronts_option
def export(form: str, out: Path | None, expression: str, directory: str | None, fronts: str | None) -> None:
    """All attempts that match EXPRESSION, by default all there are, for other programs."""
    if form == "parquet" and out is None:
        raise click.UsageError("--out is needed for parquet")
    rows = book_of(directory, fronts).rows(plan_of(expression))
    if form == "parquet":
        count = _parquet(rows, out)
    else:
        with open(out, "w", newline="") if out else click.get_text_stream("stdout") as file:
            count = _lines(rows, form, file)
    click.echo(f"{count} rows", err=True)


def _lines(rows: Iterator[Row], form: str, file: Any) -> int:
    count, writer = 0, None
    for count, row in enumerate(rows, 1):  # noqa: B007 - the count is what is wanted
        values = plain(row)
        if form == "jsonl":
            file.write(json.dumps(values) + "\n")
            continue
        if writer is None:
            writer = csv.DictWriter(file, list(values))
            writer.writeheader()
        writer.writerow(values)
    return count


def _parquet(rows: Iterator[Row], out: Path) -> int:
    import pyarrow as pa
    import pyarrow.parquet as pq

    types = {name: pa.string() for name in Row._fields}
    types |= {name: pa.timestamp("ms", tz="UTC") for name in TIMES}
    types |= {"attempt": pa.int32(), "closed": pa.bool_()}
    schema = pa.schema([("class" if name == "cls" else name, each) for name, each in types.items()])
    count, batch = 0, []
    with pq.ParquetWriter(out, schema) as writer:

        def flush() -> None:
            columns = {name: [getattr(row, name) for row in batch] for name in Row._fields}
            for name in TIMES:
                columns[name] = [None if each is None else int(each) for each in columns[name]]
            columns["class"] = columns.pop("cls")
            writer.write_table(pa.table({name: columns[name] for name in schema.names}, schema=schema))

        for row in rows:
            batch.append(row)
            count += 1
            if len(batch) >= BATCH:
                flush()
                batch = []
        flush()
    return count


@journal.command()
@directory_option
@fronts_option
@click.option("--json", "as_json", is_flag=True)
def stats(directory: str | None, fronts: str | None, as_json: bool) -> None:
    """Counts by class and state, and the size on disk."""
    book = book_of(directory, fronts)
    counts: Counter[tuple[str, str]] = Counter()
    for request in book.requests():
        counts.update((row.cls, row.state) for row in rows_of(request))
    sizes = book.sizes()
    if as_json:
        click.echo(
            json.dumps(
                {
                    "attempts": [
                        {"class": cls, "state": state, "count": count}
                        for (cls, state), count in sorted(counts.items())
                    ],
                    "segments": len(sizes),
                    "bytes": sum(size for *_, size in sizes),
                }
            )
        )
        return
    for (cls, state), count in sorted(counts.items()):
        click.echo(f"{cls or '-'}  {state}  {count}")
    click.echo(f"{len(sizes)} segments, {sum(size for *_, size in sizes) / 1e6:.1f} MB")
