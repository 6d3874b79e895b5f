"""`spanwing journal`: queries, checks, exports and repairs the journal of a daemon, running or stopped."""

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

from spanwing.journal.files import FolderInUseError, LocalFolder
from spanwing.journal.frames import DamagedBytes, RecordFrame
from spanwing.journal.query import FIELDS, QueryError, QueryPlan, parse_query
from spanwing.journal.reader import JournalReader
from spanwing.journal.records import RECORD_KINDS
from spanwing.journal.repair import apply_step, plan_repair
from spanwing.journal.table import AttemptRow, attempt_rows
from spanwing.operator_file import DEFAULT_OPERATOR_FILE, OperatorFile

EXIT_FAILURE, EXIT_NOT_FOUND = 1, 1
TAIL_INTERVAL_S = 0.2  # pause between two reads of `tail --follow`
PARQUET_BATCH_ROWS = 10_000  # rows per Parquet row group
TIME_FIELDS = ("time", "intent", "last_byte", "answered")  # of AttemptRow, in ms since 1970


class JournalCommandError(click.ClickException):
    """A failure of the command, printed in one line; the exit status is 1."""

    exit_code = EXIT_FAILURE


def find_journal_directory(directory: str | None, operator_file: str | None) -> str:
    """Returns the journal's folder: directory if given, else journal.directory of the operator's file.

    Raises JournalCommandError if the file cannot be read or has no [journal] table.
    """
    if directory:
        return directory
    path = Path(operator_file or DEFAULT_OPERATOR_FILE)
    try:
        journal_settings = msgspec.toml.decode(path.read_bytes(), type=OperatorFile).journal
    except (OSError, ValueError) as error:
        raise JournalCommandError(f"no --directory was given, and {path} cannot be read: {error}") from None
    if journal_settings is None:
        raise JournalCommandError(f"no --directory was given, and {path} has no [journal] table")
    return journal_settings.directory


def open_journal(directory: str | None, operator_file: str | None) -> JournalReader:
    """Opens the journal for reading. Raises JournalCommandError if it cannot be found or read."""
    try:
        return JournalReader(find_journal_directory(directory, operator_file))
    except OSError as error:
        raise JournalCommandError(str(error)) from None


def parse_expression(expression: str) -> QueryPlan:
    """Parses a query. Raises click.UsageError, with a mark below the column of the error."""
    try:
        return parse_query(expression, time.time() * 1000.0)
    except QueryError as error:
        marker_line = " " * (error.column - 1) + "^"
        raise click.UsageError(f"{error}\n    {expression[:200]}\n    {marker_line[:200]}") from None


def format_time(wall_ms: float | None) -> str:
    """Returns a wall clock time (ms since 1970) as ISO 8601 in local time, or "-" for None."""
    return (
        "-"
        if wall_ms is None
        else datetime.fromtimestamp(wall_ms / 1000.0).astimezone().isoformat(timespec="milliseconds")
    )


def row_as_json(row: AttemptRow) -> dict[str, Any]:
    """Returns the values of a row by field name, for JSON and CSV; known times are in ISO 8601."""
    values = row._asdict()
    values["class"] = values.pop("cls")
    return {
        name: format_time(value) if name in TIME_FIELDS and value is not None else value
        for name, value in values.items()
    }


def show_rows(rows: Iterable[AttemptRow], as_json: bool, limit: int) -> int:
    """Prints at most `limit` rows (all rows if it is 0), and returns the number printed."""
    shown_count = 0
    for row in rows:
        if limit and shown_count >= limit:
            click.echo(f"further ones are left out: --limit {limit}", err=True)
            break
        shown_count += 1
        if as_json:
            click.echo(json.dumps(row_as_json(row)))
        else:
            attempt = "" if row.attempt is None else f"#{row.attempt} {row.worker} {row.address}"
            outcome = row.result or row.given_up or ("left open by a crash" if row.closed else "")
            answer = row.answer or "no answer"
            click.echo(
                f"{format_time(row.intent or row.time)}  {row.state:<13}  {row.cls}  {row.request}  "
                f"{attempt}  {outcome}  {answer}".rstrip()
            )
    return shown_count


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
    plan = parse_expression("state in ('possibly sent', sent) and result = '' ")
    show_rows(open_journal(directory, fronts).find_rows(plan), as_json, limit)


@journal.command()
@click.argument("request")
@directory_option
@fronts_option
@json_option
def show(request: str, directory: str | None, fronts: str | None, as_json: bool) -> None:
    """Everything that is known of one REQUEST; exit status 1 if that is nothing."""
    journal_request = open_journal(directory, fronts).find_request(request)
    if journal_request is None:
        click.echo(f"{request}: not in the journal", err=True)
        raise SystemExit(EXIT_NOT_FOUND)
    if not as_json:
        click.echo(f"{request}: {journal_request.delivery_state}")
    show_rows(attempt_rows(journal_request), as_json, 0)


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
    show_rows(open_journal(directory, fronts).find_rows(parse_expression(expression)), as_json, limit)


@journal.command()
@click.option("-f", "--follow", is_flag=True, help="Go on with what is written from now on.")
@click.option("-n", "count", default=10, show_default=True, help="The last so many records first.")
@directory_option
@fronts_option
def tail(follow: bool, count: int, directory: str | None, fronts: str | None) -> None:
    """The last records, as they stand."""
    reader, last_number = open_journal(directory, fronts), 0
    last_frames: list[RecordFrame] = []
    for _, frame in reader.read_frames():
        if isinstance(frame, RecordFrame):
            last_frames = [*last_frames, frame][-count:] if count else []
            last_number = frame.number
    for frame in last_frames:
        print_record(frame)
    while follow:
        time.sleep(TAIL_INTERVAL_S)
        for _, frame in reader.read_frames(last_number):
            if isinstance(frame, RecordFrame):
                last_number = frame.number
                print_record(frame)


def print_record(frame: RecordFrame) -> None:
    """Prints one record as a line of JSON; flushes standard output, so that a pipe gets it immediately."""
    record = frame.record
    click.echo(
        json.dumps(
            {
                "number": frame.number,
                "record": RECORD_KINDS[type(record)],
                "time": format_time(record.wall_ms),
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
    reader, intact_count, fault_count = open_journal(directory, fronts), 0, 0
    for segment, frame in reader.read_frames():
        if isinstance(frame, DamagedBytes):
            is_harmless = reader.is_harmless(frame)
            fault_count += not is_harmless
            click.echo(f"{segment}: {frame.reason}{' (expected after a crash)' if is_harmless else ''}")
        else:
            intact_count += 1
    gaps = list(reader.read_gaps())
    for gap in gaps:
        period = f"from {format_time(gap.since_wall_ms)} to {format_time(gap.wall_ms)}"
        click.echo(f"gap of {gap.count} records {period}: {gap.why}")
    click.echo(f"{intact_count} whole records, {fault_count} faults, {len(gaps)} gaps")
    if fault_count:
        raise SystemExit(EXIT_FAILURE)


@journal.command()
@click.option("--dry-run", is_flag=True, help="Say what would be done, and do nothing.")
@directory_option
@fronts_option
def repair(dry_run: bool, directory: str | None, fronts: str | None) -> None:
    """Set damaged files aside and keep every whole record; the daemon must not run."""
    path = find_journal_directory(directory, fronts)
    try:
        folder = LocalFolder(path, for_writing=not dry_run)
    except FolderInUseError as error:
        raise JournalCommandError(f"{error}: stop the daemon first") from None
    except OSError as error:
        raise JournalCommandError(f"{path}: {error.strerror}") from None
    try:
        step_count = 0
        for step in list(plan_repair(folder)):
            step_count += step.action != "leave"
            click.echo(f"{step.file_name}: {step.action}: {step.reason}")
            if not dry_run:
                apply_step(folder, step)
        click.echo(f"{step_count} step{'s' if step_count != 1 else ''} {'to do' if dry_run else 'done'}")
    finally:
        folder.close_all()


@journal.command()
@click.option(
    "--format",
    "export_format",
    type=click.Choice(["jsonl", "csv", "parquet"]),
    default="jsonl",
    show_default=True,
)
@click.option("--out", type=click.Path(path_type=Path, dir_okay=False), help="A file; Parquet needs one.")
@click.argument("expression", default="")
@directory_option
@fronts_option
def export(
    export_format: str, out: Path | None, expression: str, directory: str | None, fronts: str | None
) -> None:
    """All attempts that match EXPRESSION, by default all there are, for other programs."""
    if export_format == "parquet" and out is None:
        raise click.UsageError("--out is needed for parquet")
    rows = open_journal(directory, fronts).find_rows(parse_expression(expression))
    if export_format == "parquet":
        count = _write_parquet(rows, out)
    else:
        with open(out, "w", newline="") if out else click.get_text_stream("stdout") as file:
            count = _write_text(rows, export_format, file)
    click.echo(f"{count} rows", err=True)


def _write_text(rows: Iterator[AttemptRow], export_format: str, file: Any) -> int:
    """Writes rows as JSON lines or CSV, and returns their number."""
    count, writer = 0, None
    for count, row in enumerate(rows, 1):  # noqa: B007 - the last value is the number of rows
        values = row_as_json(row)
        if export_format == "jsonl":
            file.write(json.dumps(values) + "\n")
            continue
        if writer is None:
            writer = csv.DictWriter(file, list(values))
            writer.writeheader()
        writer.writerow(values)
    return count


def _write_parquet(rows: Iterator[AttemptRow], out: Path) -> int:
    """Writes rows to a Parquet file, in row groups of PARQUET_BATCH_ROWS, and returns their number."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    types = {name: pa.string() for name in AttemptRow._fields}
    types |= {name: pa.timestamp("ms", tz="UTC") for name in TIME_FIELDS}
    types |= {"attempt": pa.int32(), "closed": pa.bool_()}
    schema = pa.schema(
        [("class" if name == "cls" else name, arrow_type) for name, arrow_type in types.items()]
    )
    count, batch = 0, []
    with pq.ParquetWriter(out, schema) as writer:

        def flush() -> None:
            columns = {name: [getattr(row, name) for row in batch] for name in AttemptRow._fields}
            for name in TIME_FIELDS:
                columns[name] = [None if time_ms is None else int(time_ms) for time_ms in columns[name]]
            columns["class"] = columns.pop("cls")
            writer.write_table(pa.table({name: columns[name] for name in schema.names}, schema=schema))

        for row in rows:
            batch.append(row)
            count += 1
            if len(batch) >= PARQUET_BATCH_ROWS:
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
    reader = open_journal(directory, fronts)
    counts: Counter[tuple[str, str]] = Counter()
    for request in reader.read_requests():
        counts.update((row.cls, row.state) for row in attempt_rows(request))
    sizes = reader.segment_sizes()
    if as_json:
        click.echo(
            json.dumps(
                {
                    "attempts": [
                        {"class": class_name, "state": state, "count": count}
                        for (class_name, state), count in sorted(counts.items())
                    ],
                    "segments": len(sizes),
                    "bytes": sum(size for *_, size in sizes),
                }
            )
        )
        return
    for (class_name, state), count in sorted(counts.items()):
        click.echo(f"{class_name or '-'}  {state}  {count}")
    click.echo(f"{len(sizes)} segments, {sum(size for *_, size in sizes) / 1e6:.1f} MB")
