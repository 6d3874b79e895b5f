"""Scenario files: a world written down in TOML, checked as a whole.

Guarantees: a file gives a Scenario or every fault in it, each with its place; unknown keys are refused;
the same Scenario and seed give the same Plan. `times` makes everything that many times as large: workers,
schedulers and load.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from spanwing.everyfault import every_fault
from spanwing.faults import Faults
from spanwing.world.clients import Backoff, BrandSpec, ClassSpec, LoadSpec, Retries
from spanwing.world.fleet import Plan
from spanwing.world.network import Delays
from spanwing.world.streams import Streams
from spanwing.world.troubles import Trouble
from spanwing.world.worker import Order, Spec

LIBRARY = Path(__file__).parent / "scenarios"
MOST_WORKERS, MOST_SCHEDULERS = 100_000, 10_000

Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Zero = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9_-]+$")]
Span = tuple[Zero, Zero]


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What all have."""


class Workers(Table):
    """Some job workers of one kind, spread over the zones."""

    kind: Name
    count: Count
    cores: Positive = 4.0
    speed: Positive = 1.0
    speed_cv: Share = 0.0
    slots: Count = 4
    queue: Count = 40
    memory: Positive | None = None
    order: Order = "priority"
    suspends: bool = False
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    cold_ms: Zero = 0.0
    fall_multiple: Positive | None = None
    fall_ms: Zero = 0.0


class ClassTable(Table):
    name: Name
    share: Positive
    work_ms: Positive
    dist: Literal["exp", "lognormal", "fixed"] = "exp"
    cv: Annotated[float, msgspec.Meta(ge=0, le=20)] = 1.0
    aim_ms: Positive = 300.0
    deadline_ms: Positive = 5000.0
    stretch: Zero = 0.0
    worth: Positive = 1.0
    late_worth: Share = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    priority: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    kind: str = ""
    window_ms: Zero = 0.0
    slots: Count | list[Share] = 1  # of each job, or shares of the jobs that take 1, 2, 4, 8
    memory: Zero = 0.0

    def slot_shares(self) -> tuple[float, ...]:
        if isinstance(self.slots, list):
            return tuple(self.slots)
        return (0.0,) * (self.slots.bit_length() - 1) + (1.0,)

    def most_slots(self) -> int:
        return max((2**power for power, share in enumerate(self.slot_shares()) if share > 0), default=1)


class Brand(Table):
    name: Name
    share: Positive
    allowance: Positive | None = None  # requests a second


class Load(Table):
    level: Annotated[float, msgspec.Meta(gt=0, le=50)]  # of what the workers can do
    swing: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.0
    keys: Count = 1000
    zipf: Annotated[float, msgspec.Meta(ge=0, le=10)] = 1.1
    impatient: Share = 0.0
    attempt_noise: Annotated[float, msgspec.Meta(ge=0, le=5)] = 0.0
    zones: list[Positive] = []  # shares of the clients by zone, in the order of `zones`; none: of no zone


class RetryTable(Table):
    most: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    backoff: Backoff = "none"
    wait_ms: Zero = 30.0
    honour: Share = 0.6
    jitter: bool = True


class NetworkTable(Table):
    same_ms: Span = (0.1, 0.34)
    cross_ms: Span = (0.48, 0.9)
    client_ms: Span = (0.23, 1.2)
    jitter: Annotated[float, msgspec.Meta(ge=0, le=5)] = 0.18
    discovery_ms: Span = (20.0, 120.0)
    notice_ms: Zero = 1000.0


class Scenario(Table, kw_only=True):
    """The file as it is written."""

    name: Name
    about: str = ""
    seconds: Annotated[float, msgspec.Meta(gt=0, le=86_400)]
    times: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    schedulers: Annotated[int, msgspec.Meta(ge=1, le=1000)]
    zones: list[Name]
    decision_ms: Zero = 0.0
    together: bool = False  # the schedulers leave and return to zones as one
    regions: dict[str, list[Name]] = {}  # of zones that are left by one decision
    workers: list[Workers]
    classes: list[ClassTable]
    brands: list[Brand] = []
    load: Load
    retries: RetryTable = msgspec.field(default_factory=RetryTable)
    network: NetworkTable = msgspec.field(default_factory=NetworkTable)
    troubles: list[Trouble] = []

    @property
    def day_ms(self) -> float:
        return self.seconds * 1000.0

    def schedulers_named(self) -> list[tuple[str, str]]:
        return [(f"s{n}", self.zones[n % len(self.zones)]) for n in range(self.schedulers * self.times)]

    def rate(self) -> float:
        """Requests a second on average, from the level and what workers can do when warm."""
        capacity = sum(
            each.count * self.times * min(each.cores, each.slots) * each.speed for each in self.workers
        )
        whole = sum(each.share for each in self.classes)
        work = (
            sum(
                each.share
                * each.work_ms
                * sum(share * 2**power for power, share in enumerate(each.slot_shares()))
                for each in self.classes
            )
            / whole
        )
        return self.load.level * capacity / work * 1000.0

    def plan(self, seed: int) -> Plan:
        specs, speeds = [], Streams(seed).of("workers", "speed")
        for table in self.workers:
            for number in range(table.count * self.times):
                speed = table.speed * math.exp(float(speeds.normal()) * table.speed_cv)
                specs.append(
                    Spec(
                        f"{table.kind}-{number}",
                        self.zones[number % len(self.zones)],
                        table.kind,
                        0,
                        table.cores,
                        speed,
                        table.slots,
                        table.queue,
                        table.memory or math.inf,
                        table.order,
                        table.suspends,
                        table.cold_from,
                        table.cold_ms,
                        table.fall_multiple or math.inf,
                        table.fall_ms,
                    )
                )
        classes = tuple(
            ClassSpec(
                each.name,
                each.share,
                each.work_ms,
                each.dist,
                each.cv,
                each.aim_ms,
                each.deadline_ms,
                each.stretch,
                each.worth,
                each.late_worth,
                each.effect,
                each.priority,
                each.kind or None,
                each.window_ms,
                each.slot_shares(),
                each.memory,
            )
            for each in self.classes
        )
        brands = tuple(BrandSpec(each.name, each.share, each.allowance or math.inf) for each in self.brands)
        load, net, retries = self.load, self.network, self.retries
        return Plan(
            tuple(specs),
            tuple(self.schedulers_named()),
            classes,
            LoadSpec(
                self.rate(),
                load.swing,
                self.day_ms,
                load.keys,
                load.zipf,
                load.impatient,
                load.attempt_noise,
                tuple(zip(self.zones, load.zones, strict=False)),
            ),
            brands or (BrandSpec("one", 1.0),),
            Retries(retries.most, retries.backoff, retries.wait_ms, retries.honour, retries.jitter),
            Delays(net.same_ms, net.cross_ms, net.client_ms, net.jitter),
            None,
            net.discovery_ms,
            self.decision_ms,
            net.notice_ms,
        )

    def wrong(self) -> Iterator[tuple[str, str]]:
        """What is not possible together: place and fault."""
        for name, values in (
            ("zones", self.zones),
            ("classes", [each.name for each in self.classes]),
            ("brands", [each.name for each in self.brands]),
            ("workers", [each.kind for each in self.workers]),
        ):
            if not values and name != "brands":
                yield name, "at least one is needed"
            if len(set(values)) < len(values):
                yield name, "a name stands twice"
        for region, names in self.regions.items():
            for name in sorted(set(names) - set(self.zones)):
                yield f"regions.{region}", f"{name!r} is none of {', '.join(self.zones)}"
        kinds = {each.kind for each in self.workers}
        if sum(each.count for each in self.workers) * self.times > MOST_WORKERS:
            yield "workers", f"more than {MOST_WORKERS} in all"
        if self.schedulers * self.times > MOST_SCHEDULERS:
            yield "schedulers", f"more than {MOST_SCHEDULERS} in all"
        for number, each in enumerate(self.classes):
            where = f"classes[{number}]"
            if each.deadline_ms < each.aim_ms:
                yield f"{where}.deadline_ms", f"{each.deadline_ms:g} is below the aim of {each.aim_ms:g}"
            if each.kind and each.kind not in kinds:
                yield f"{where}.kind", f"{each.kind!r} is none of {', '.join(sorted(kinds))}"
            fit = [worker for worker in self.workers if each.kind in ("", worker.kind)]
            if isinstance(each.slots, list) and not (0 < len(each.slots) <= 4 and sum(each.slots) > 0):
                yield f"{where}.slots", "one to four shares, for 1, 2, 4 and 8 slots, that are not all 0"
            elif isinstance(each.slots, int) and each.slots.bit_count() != 1:
                yield f"{where}.slots", f"{each.slots} is no power of two"
            elif fit and not any(
                worker.slots >= each.most_slots() and (worker.memory or math.inf) >= each.memory
                for worker in fit
            ):
                yield f"{where}.slots", "no worker is large enough for it"
        if self.load.zones and len(self.load.zones) != len(self.zones):
            yield "load.zones", f"{len(self.load.zones)} shares for {len(self.zones)} zones"
        for name in ("same_ms", "cross_ms", "client_ms", "discovery_ms"):
            least, most = getattr(self.network, name)
            if least > most:
                yield f"network.{name}", f"{least:g} is above {most:g}"
        brands = {each.name for each in self.brands} or {"one"}
        schedulers = {name for name, _ in self.schedulers_named()}
        for number, each in enumerate(self.troubles):
            for field, fault in each.wrong(set(self.zones), brands, kinds, schedulers, self.seconds):
                yield f"troubles[{number}].{field}", fault


LISTS: dict[str, type] = {"workers": Workers, "classes": ClassTable, "brands": Brand, "troubles": Trouble}
TABLES: dict[str, type] = {"load": Load, "retries": RetryTable, "network": NetworkTable}


def parse(data: bytes, faults: Faults) -> Scenario | None:
    """The scenario in a file; with faults that collect, None where there are any, and all are there."""
    try:
        value = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        faults.add("file", str(error))
        return None
    before = len(faults.found)
    # Tables are looked at one by one, so that each fault has its place; then the rest as a whole.
    sound = dict(value)
    for name, form in LISTS.items():
        if isinstance(value.get(name), list):
            checked = [
                _check(each, form, f"{name}[{number}]", faults) for number, each in enumerate(value[name])
            ]
            sound[name] = value[name] if all(checked) else []
    for name, form in TABLES.items():
        if isinstance(value.get(name), dict) and not _check(value[name], form, name, faults):
            sound[name] = {"level": 1.0} if name == "load" else {}
    if len(faults.found) > before:
        _check(sound, Scenario, "", faults)
        return None
    if not _check(value, Scenario, "", faults):
        return None
    scenario = msgspec.convert(value, Scenario)
    for place, fault in scenario.wrong():
        faults.add(place, fault)
    return None if len(faults.found) > before else scenario


def _check(value: Any, form: type, place: str, faults: Faults) -> bool:
    try:
        msgspec.convert(value, form)
        return True
    except msgspec.ValidationError as error:
        _, found = every_fault(msgspec.json.encode(value), form, msgspec.json.decode)
        for where, fault in found or [("", str(error))]:
            faults.add(".".join(each for each in (place, where) if each) or "file", fault)
        return False


def load(name: str, faults: Faults) -> Scenario | None:
    """From a file, or one of the library by its name."""
    path = Path(name)
    if not path.suffix and (LIBRARY / f"{name}.toml").is_file():
        path = LIBRARY / f"{name}.toml"
    try:
        return parse(path.read_bytes(), faults)
    except OSError as error:
        known = ", ".join(sorted(each.stem for each in LIBRARY.glob("*.toml")))
        faults.add("scenario", f"cannot read {name}: {error.strerror}; ready ones are {known}")
        return None
