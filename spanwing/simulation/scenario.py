"""Reads scenario files, which describe a simulated fleet in TOML.

Parsing gives a Scenario, or all errors of the file with the key of each; unknown keys are errors. The same
Scenario and seed give the same FleetPlan. The setting `times` multiplies the number of workers and
schedulers and the load. Bounds: MAX_WORKERS workers and MAX_SCHEDULERS schedulers.

Fields whose key in the file differs from the field's name declare the key with msgspec.field(name=...).
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from spanwing.config_errors import ErrorCollector
from spanwing.schema_validation import find_all_errors
from spanwing.simulation.clients import BackoffKind, ClassSpec, LoadSpec, RetrySpec, TenantSpec
from spanwing.simulation.fault_injection import FaultSpec
from spanwing.simulation.fleet import FleetPlan
from spanwing.simulation.network import NetworkDelays
from spanwing.simulation.random_streams import RandomStreams
from spanwing.simulation.worker import QueueDiscipline, WorkerSpec

SCENARIO_LIBRARY = Path(__file__).parent / "scenarios"
MAX_WORKERS, MAX_SCHEDULERS = 100_000, 10_000

PositiveNumber = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
ScenarioName = Annotated[str, msgspec.Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9_-]+$")]
DelayRange = tuple[NonNegativeNumber, NonNegativeNumber]


class ScenarioTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all tables: immutable; unknown keys are errors."""


class WorkersTable(ScenarioTable):
    """Workers of one kind, distributed evenly over the zones; times in ms."""

    kind: ScenarioName
    count: PositiveCount
    cores: PositiveNumber = 4.0
    speed: PositiveNumber = 1.0
    speed_cv: Fraction = 0.0  # variation of the speed between workers
    slots: PositiveCount = 4
    queue_length: PositiveCount = msgspec.field(default=40, name="queue")
    memory: PositiveNumber | None = None
    queue_discipline: QueueDiscipline = msgspec.field(default="priority", name="order")
    preempts: bool = msgspec.field(default=False, name="suspends")
    initial_capacity: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(
        default=1.0, name="cold_from"
    )
    slow_start_ms: NonNegativeNumber = msgspec.field(default=0.0, name="cold_ms")
    overload_multiple: PositiveNumber | None = msgspec.field(default=None, name="fall_multiple")
    overload_window_ms: NonNegativeNumber = msgspec.field(default=0.0, name="fall_ms")


class ClassTable(ScenarioTable):
    """One class of requests; times in ms."""

    name: ScenarioName
    share: PositiveNumber
    work_ms: PositiveNumber
    distribution: Literal["exp", "lognormal", "fixed"] = msgspec.field(default="exp", name="dist")
    work_cv: Annotated[float, msgspec.Meta(ge=0, le=20)] = msgspec.field(default=1.0, name="cv")
    latency_objective_ms: PositiveNumber = msgspec.field(default=300.0, name="aim_ms")
    deadline_ms: PositiveNumber = 5000.0
    objective_stretch: NonNegativeNumber = msgspec.field(default=0.0, name="stretch")
    priority_weight: PositiveNumber = msgspec.field(default=1.0, name="worth")
    late_weight: Fraction = msgspec.field(default=0.0, name="late_worth")
    idempotency: Literal["safe", "keyed", "unsafe"] = msgspec.field(default="safe", name="effect")
    priority: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    worker_kind: str = msgspec.field(default="", name="kind")
    deduplication_window_ms: NonNegativeNumber = msgspec.field(default=0.0, name="window_ms")
    slots: PositiveCount | list[Fraction] = 1  # of every request, or the shares that take 1, 2, 4, 8 slots
    memory: NonNegativeNumber = 0.0

    def slot_shares(self) -> tuple[float, ...]:
        """Returns the shares of requests that take 1, 2, 4, 8, ... slots."""
        if isinstance(self.slots, list):
            return tuple(self.slots)
        return (0.0,) * (self.slots.bit_length() - 1) + (1.0,)

    def max_slots(self) -> int:
        """Returns the largest number of slots that a request of this class takes."""
        return max((2**power for power, share in enumerate(self.slot_shares()) if share > 0), default=1)


class TenantTable(ScenarioTable):
    """One tenant: its share of the load and its quota."""

    name: ScenarioName
    share: PositiveNumber
    quota: PositiveNumber | None = msgspec.field(default=None, name="allowance")  # requests a second


class LoadTable(ScenarioTable):
    """The load, and how it is distributed."""

    level: Annotated[float, msgspec.Meta(gt=0, le=50)]  # mean load, as a multiple of the workers' capacity
    daily_swing: Annotated[float, msgspec.Meta(ge=0, lt=1)] = msgspec.field(default=0.0, name="swing")
    key_count: PositiveCount = msgspec.field(default=1000, name="keys")
    zipf_exponent: Annotated[float, msgspec.Meta(ge=0, le=10)] = msgspec.field(default=1.1, name="zipf")
    impatient_share: Fraction = msgspec.field(default=0.0, name="impatient")
    attempt_work_cv: Annotated[float, msgspec.Meta(ge=0, le=5)] = msgspec.field(
        default=0.0, name="attempt_noise"
    )
    #: Shares of the clients by zone, in the order of the scenario's `zones`; empty: clients have no zone.
    client_zone_shares: list[PositiveNumber] = msgspec.field(default=[], name="zones")


class RetryTable(ScenarioTable):
    """How clients react to a rejection; see RetrySpec."""

    max_retries: Annotated[int, msgspec.Meta(ge=0, le=100)] = msgspec.field(default=0, name="most")
    backoff: BackoffKind = "none"
    base_backoff_ms: NonNegativeNumber = msgspec.field(default=30.0, name="wait_ms")
    retry_after_honour_share: Fraction = msgspec.field(default=0.6, name="honour")
    has_jitter: bool = msgspec.field(default=True, name="jitter")


class NetworkTable(ScenarioTable):
    """Delays of the network and of discovery, in ms."""

    same_ms: DelayRange = (0.1, 0.34)  # one way, within a zone
    cross_ms: DelayRange = (0.48, 0.9)  # one way, between two zones
    client_ms: DelayRange = (0.23, 1.2)  # one way, between a client and any zone
    jitter_cv: Annotated[float, msgspec.Meta(ge=0, le=5)] = msgspec.field(default=0.18, name="jitter")
    discovery_ms: DelayRange = (20.0, 120.0)
    scheduler_loss_notice_ms: NonNegativeNumber = msgspec.field(default=1000.0, name="notice_ms")


class Scenario(ScenarioTable, kw_only=True):
    """The content of a scenario file."""

    name: ScenarioName
    description: str = msgspec.field(default="", name="about")
    seconds: Annotated[float, msgspec.Meta(gt=0, le=86_400)]  # length of the simulated day
    size_multiple: Annotated[int, msgspec.Meta(ge=1, le=1000)] = msgspec.field(
        default=1, name="times"
    )  # of workers, schedulers and load
    scheduler_count: Annotated[int, msgspec.Meta(ge=1, le=1000)] = msgspec.field(name="schedulers")
    zones: list[ScenarioName]
    decision_ms: NonNegativeNumber = 0.0
    #: A leader decides for all schedulers when they leave and return to zones.
    has_zone_leader: bool = msgspec.field(default=False, name="together")
    regions: dict[str, list[ScenarioName]] = {}  # names of the zones by region; left by one decision
    workers: list[WorkersTable]
    classes: list[ClassTable]
    tenants: list[TenantTable] = msgspec.field(default=[], name="brands")
    load: LoadTable
    retries: RetryTable = msgspec.field(default_factory=RetryTable)
    network: NetworkTable = msgspec.field(default_factory=NetworkTable)
    faults: list[FaultSpec] = msgspec.field(default=[], name="troubles")

    @property
    def day_ms(self) -> float:
        """The length of the day in ms."""
        return self.seconds * 1000.0

    def scheduler_names_and_zones(self) -> list[tuple[str, str]]:
        """Returns the name and zone of every scheduler."""
        return [
            (f"s{index}", self.zones[index % len(self.zones)])
            for index in range(self.scheduler_count * self.size_multiple)
        ]

    def mean_request_rate(self) -> float:
        """Computes the mean rate in requests a second from `load.level` and the workers' full capacity."""
        capacity = sum(
            each.count * self.size_multiple * min(each.cores, each.slots) * each.speed
            for each in self.workers
        )
        share_sum = sum(each.share for each in self.classes)
        mean_work_ms = (
            sum(
                each.share
                * each.work_ms
                * sum(share * 2**power for power, share in enumerate(each.slot_shares()))
                for each in self.classes
            )
            / share_sum
        )
        return self.load.level * capacity / mean_work_ms * 1000.0

    def build_plan(self, seed: int) -> FleetPlan:
        """Builds the plan of the simulated fleet; the speeds of the workers are drawn from the seed."""
        specs, speed_stream = [], RandomStreams(seed).stream("workers", "speed")
        for table in self.workers:
            for index in range(table.count * self.size_multiple):
                speed = table.speed * math.exp(float(speed_stream.normal()) * table.speed_cv)
                specs.append(
                    WorkerSpec(
                        f"{table.kind}-{index}",
                        self.zones[index % len(self.zones)],
                        table.kind,
                        0,
                        table.cores,
                        speed,
                        table.slots,
                        table.queue_length,
                        table.memory or math.inf,
                        table.queue_discipline,
                        table.preempts,
                        table.initial_capacity,
                        table.slow_start_ms,
                        table.overload_multiple or math.inf,
                        table.overload_window_ms,
                    )
                )
        classes = tuple(
            ClassSpec(
                each.name,
                each.share,
                each.work_ms,
                each.distribution,
                each.work_cv,
                each.latency_objective_ms,
                each.deadline_ms,
                each.objective_stretch,
                each.priority_weight,
                each.late_weight,
                each.idempotency,
                each.priority,
                each.worker_kind or None,
                each.deduplication_window_ms,
                each.slot_shares(),
                each.memory,
            )
            for each in self.classes
        )
        tenants = tuple(TenantSpec(each.name, each.share, each.quota or math.inf) for each in self.tenants)
        load, network, retries = self.load, self.network, self.retries
        return FleetPlan(
            tuple(specs),
            tuple(self.scheduler_names_and_zones()),
            classes,
            LoadSpec(
                self.mean_request_rate(),
                load.daily_swing,
                self.day_ms,
                load.key_count,
                load.zipf_exponent,
                load.impatient_share,
                load.attempt_work_cv,
                tuple(zip(self.zones, load.client_zone_shares, strict=False)),
            ),
            tenants or (TenantSpec("one", 1.0),),
            RetrySpec(
                retries.max_retries,
                retries.backoff,
                retries.base_backoff_ms,
                retries.retry_after_honour_share,
                retries.has_jitter,
            ),
            NetworkDelays(network.same_ms, network.cross_ms, network.client_ms, network.jitter_cv),
            None,
            network.discovery_ms,
            self.decision_ms,
            network.scheduler_loss_notice_ms,
        )

    def find_errors(self) -> Iterator[tuple[str, str]]:
        """Yields errors in how values relate to each other, as pairs of key and message."""
        for name, values in (
            ("zones", self.zones),
            ("classes", [each.name for each in self.classes]),
            ("brands", [each.name for each in self.tenants]),
            ("workers", [each.kind for each in self.workers]),
        ):
            if not values and name != "brands":
                yield name, "at least one entry is required"
            if len(set(values)) < len(values):
                yield name, "two entries have the same name"
        for region, names in self.regions.items():
            for name in sorted(set(names) - set(self.zones)):
                yield f"regions.{region}", f"{name!r} is not one of {', '.join(self.zones)}"
        kinds = {each.kind for each in self.workers}
        if sum(each.count for each in self.workers) * self.size_multiple > MAX_WORKERS:
            yield "workers", f"more than {MAX_WORKERS} workers in total"
        if self.scheduler_count * self.size_multiple > MAX_SCHEDULERS:
            yield "schedulers", f"more than {MAX_SCHEDULERS} schedulers in total"
        for index, each in enumerate(self.classes):
            prefix = f"classes[{index}]"
            if each.deadline_ms < each.latency_objective_ms:
                yield (
                    f"{prefix}.deadline_ms",
                    f"{each.deadline_ms:g} is below aim_ms, which is {each.latency_objective_ms:g}",
                )
            if each.worker_kind and each.worker_kind not in kinds:
                yield f"{prefix}.kind", f"{each.worker_kind!r} is not one of {', '.join(sorted(kinds))}"
            eligible = [worker for worker in self.workers if each.worker_kind in ("", worker.kind)]
            if isinstance(each.slots, list) and not (0 < len(each.slots) <= 4 and sum(each.slots) > 0):
                yield (
                    f"{prefix}.slots",
                    "expected one to four shares, for 1, 2, 4 and 8 slots, not all of them 0",
                )
            elif isinstance(each.slots, int) and each.slots.bit_count() != 1:
                yield f"{prefix}.slots", f"{each.slots} is not a power of two"
            elif eligible and not any(
                worker.slots >= each.max_slots() and (worker.memory or math.inf) >= each.memory
                for worker in eligible
            ):
                yield f"{prefix}.slots", "no worker has the slots and memory for a request of this class"
        if self.load.client_zone_shares and len(self.load.client_zone_shares) != len(self.zones):
            yield (
                "load.zones",
                f"{len(self.load.client_zone_shares)} shares given for {len(self.zones)} zones",
            )
        for name in ("same_ms", "cross_ms", "client_ms", "discovery_ms"):
            minimum, maximum = getattr(self.network, name)
            if minimum > maximum:
                yield f"network.{name}", f"{minimum:g} is above the maximum of {maximum:g}"
        tenants = {each.name for each in self.tenants} or {"one"}
        schedulers = {name for name, _ in self.scheduler_names_and_zones()}
        for index, each in enumerate(self.faults):
            for field, error in each.find_errors(set(self.zones), tenants, kinds, schedulers, self.seconds):
                yield f"troubles[{index}].{field}", error


#: The tables of a scenario file that are arrays, and the single ones, with their types.
LIST_TABLES: dict[str, type] = {
    "workers": WorkersTable,
    "classes": ClassTable,
    "brands": TenantTable,
    "troubles": FaultSpec,
}
SINGLE_TABLES: dict[str, type] = {"load": LoadTable, "retries": RetryTable, "network": NetworkTable}


def parse_scenario(data: bytes, errors: ErrorCollector) -> Scenario | None:
    """Parses a scenario file, and adds its errors to `errors`.

    Returns None if there are any errors. Raises ConfigurationError at the first error unless `errors`
    collects all of them.
    """
    try:
        value = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        errors.add_error("file", str(error))
        return None
    error_count_before = len(errors.errors)
    # The tables are checked one by one, so that each error names its key. Faulty tables are then replaced, so
    # that the check of the complete file finds the errors outside of them.
    checked_value = dict(value)
    for name, table_type in LIST_TABLES.items():
        if isinstance(value.get(name), list):
            checked = [
                _check_table(each, table_type, f"{name}[{index}]", errors)
                for index, each in enumerate(value[name])
            ]
            checked_value[name] = value[name] if all(checked) else []
    for name, table_type in SINGLE_TABLES.items():
        if isinstance(value.get(name), dict) and not _check_table(value[name], table_type, name, errors):
            checked_value[name] = {"level": 1.0} if name == "load" else {}
    if len(errors.errors) > error_count_before:
        _check_table(checked_value, Scenario, "", errors)
        return None
    if not _check_table(value, Scenario, "", errors):
        return None
    scenario = msgspec.convert(value, Scenario)
    for key, message in scenario.find_errors():
        errors.add_error(key, message)
    return None if len(errors.errors) > error_count_before else scenario


def _check_table(value: Any, table_type: type, table_path: str, errors: ErrorCollector) -> bool:
    """Adds the errors of one table to `errors`; returns whether it has none."""
    try:
        msgspec.convert(value, table_type)
        return True
    except msgspec.ValidationError as error:
        _, found = find_all_errors(msgspec.json.encode(value), table_type, msgspec.json.decode)
        for key, message in found or [("", str(error))]:
            errors.add_error(".".join(each for each in (table_path, key) if each) or "file", message)
        return False


def load_scenario(name: str, errors: ErrorCollector) -> Scenario | None:
    """Loads a scenario from a file, or from the library by its name.

    Returns None if there are any errors; see parse_scenario().
    """
    path = Path(name)
    if not path.suffix and (SCENARIO_LIBRARY / f"{name}.toml").is_file():
        path = SCENARIO_LIBRARY / f"{name}.toml"
    try:
        return parse_scenario(path.read_bytes(), errors)
    except OSError as error:
        known_names = ", ".join(sorted(each.stem for each in SCENARIO_LIBRARY.glob("*.toml")))
        errors.add_error("scenario", f"cannot read {name}: {error.strerror}; the library has {known_names}")
        return None
