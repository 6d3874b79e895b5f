"""Clients: what they ask for, when, how long they wait, and what they do when turned away.

Guarantees: pure; arrivals are a Poisson process whose rate follows the day's shape (thinning, Lewis and
Shedler 1979) and never wait for an answer, so a slow scheduler slows no load down; the work of the nth
request is the same whatever happens to the others, as each property has a stream of its own.
"""

from __future__ import annotations

import math
from typing import Literal, NamedTuple

import numpy as np

from spanwing.world.streams import Streams

Backoff = Literal["none", "at once", "fixed", "exponential"]
DRAWN = 1024  # values drawn together


class ClassSpec(NamedTuple):
    """One class of requests; times in ms."""

    name: str
    share: float
    work: float  # mean, at speed 1
    dist: Literal["exp", "lognormal", "fixed"] = "exp"
    cv: float = 1.0
    aim: float = 300.0
    deadline: float = 5000.0
    stretch: float = 0.0  # the aim grows by this multiple of the job's own running time
    worth: float = 1.0
    late_worth: float = 0.0  # of its worth, after the aim
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    priority: int = 0
    kind: str | None = None
    window: float = 0.0
    slots: tuple[float, ...] = (1.0,)  # shares of jobs that take 1, 2, 4, 8 slots
    memory: float = 0.0

    def mean_slots(self) -> float:
        return sum(share * 2**power for power, share in enumerate(self.slots)) / sum(self.slots)


class BrandSpec(NamedTuple):
    """One brand (tenant): its share of the load, and the rate that its allowance permits."""

    name: str
    share: float
    allowance: float = math.inf  # a second


class Retries(NamedTuple):
    """What a client does with a refusal."""

    most: int = 0
    backoff: Backoff = "none"
    wait: float = 30.0
    honour: float = 0.6  # of the clients heed a Retry-After
    jitter: bool = True

    def delay(self, tries: int, told: float, heeds: bool, draw: float) -> float | None:
        """ms until the next try after so many; None: no more. told: of Retry-After, draw: in [0, 1)."""
        if tries > self.most or self.backoff == "none":
            return None
        doubled = self.wait * 2.0 ** (tries - 1)
        wait = {"at once": 0.0, "fixed": self.wait, "exponential": doubled}[self.backoff]
        if self.jitter:  # full jitter, so that those who were refused together do not come back together
            wait *= draw if self.backoff == "exponential" else 0.5 + draw
        return max(wait, told) if heeds else wait


class LoadSpec(NamedTuple):
    """How much comes."""

    rate: float  # requests a second, on average
    swing: float = 0.0  # the rate moves by this part of it, once up and down over the day
    day_ms: float = 60_000.0
    keys: int = 1000
    zipf: float = 1.1  # of the keys' popularity
    impatient: float = 0.0  # of the clients leave before the deadline
    attempt_noise: float = 0.0  # coefficient of variation of the work from attempt to attempt
    zones: tuple[tuple[str, float], ...] = ()  # shares of the clients by zone; none: they are of no zone


class Wanted(NamedTuple):
    """One request as its client makes it."""

    id: str
    at: float
    cls: ClassSpec
    brand: str
    key: str
    work: float
    patience: float  # ms until the client leaves
    heeds: float  # a draw in [0, 1): below `honour` it heeds a Retry-After
    slots: int = 1
    zone: str = ""


class Drawn:
    """Values of one stream, drawn together and handed out one by one."""

    def __init__(self, draw, count: int = DRAWN) -> None:
        self.draw, self.count, self.left = draw, count, []

    def __call__(self) -> float:
        if not self.left:
            self.left = self.draw(self.count)[::-1].tolist()
        return self.left.pop()


class Clients:
    """Makes requests one after another."""

    def __init__(
        self, load: LoadSpec, classes: tuple[ClassSpec, ...], brands: tuple[BrandSpec, ...], streams: Streams
    ) -> None:
        assert load.rate > 0 and 0 <= load.swing < 1 and classes and brands
        self.load, self.classes, self.brands, self.made = load, classes, brands, 0
        self.floods: dict[str, float] = {}  # brand -> how many times its own load it sends now
        self.time = 0.0
        uniform = {
            name: Drawn(streams.of("clients", name).random)
            for name in ("thin", "class", "brand", "leave", "heed", "leave when", "slots", "zone")
        }
        self.uniform = uniform
        gaps = streams.of("clients", "gap")
        self.gap = Drawn(lambda count: gaps.exponential(1.0, count))
        self.work = {
            each.name: Drawn(_work(each, streams.of("clients", "work", each.name))) for each in classes
        }
        self.class_at = np.cumsum([each.share for each in classes]) / sum(each.share for each in classes)
        ranks = np.arange(1, load.keys + 1, dtype=float) ** -load.zipf
        popular = np.cumsum(ranks) / ranks.sum()
        keys = streams.of("clients", "key")
        self.key = Drawn(lambda count: np.searchsorted(popular, keys.random(count)).astype(float))

    def rate(self, at: float) -> float:
        """Requests a second at this time of the day."""
        shape = 1.0 + self.load.swing * math.sin(2 * math.pi * (at / self.load.day_ms - 0.25))
        return self.load.rate * shape * self._weights()[1]

    def _weights(self) -> tuple[list[float], float]:
        weights = [each.share * self.floods.get(each.name, 1.0) for each in self.brands]
        return weights, sum(weights) / sum(each.share for each in self.brands)

    def next(self) -> Wanted:
        """The next request; its time is never before the last one's."""
        most = self.load.rate * (1.0 + self.load.swing) * self._weights()[1]
        while True:
            self.time += self.gap() * 1000.0 / most
            if self.uniform["thin"]() * most <= self.rate(self.time):
                return self._make()

    def _make(self) -> Wanted:
        self.made += 1
        draw = self.uniform
        cls = self.classes[int(np.searchsorted(self.class_at, draw["class"]()))]
        weights, _ = self._weights()
        at = draw["brand"]() * sum(weights)
        brand = self.brands[-1].name
        for each, weight in zip(self.brands, weights, strict=True):
            at -= weight
            if at < 0:
                brand = each.name
                break
        patience = cls.deadline
        leaves, when = draw["leave"](), draw["leave when"]()
        if leaves < self.load.impatient:
            patience *= when
        return Wanted(
            f"r{self.made:09d}",
            self.time,
            cls,
            brand,
            f"{cls.name}-{int(self.key())}",
            self.work[cls.name](),
            patience,
            draw["heed"](),
            2 ** _drawn(cls.slots, draw["slots"]()),
            self._zone(draw["zone"]()),
        )

    def _zone(self, at: float) -> str:
        zones = self.load.zones
        return zones[_drawn(tuple(share for _, share in zones), at)][0] if zones else ""


def _drawn(shares: tuple[float, ...], at: float) -> int:
    """Which of these shares a draw in [0, 1) falls on."""
    at *= sum(shares)
    for place, share in enumerate(shares):
        at -= share
        if at < 0:
            return place
    return len(shares) - 1


def _work(cls: ClassSpec, stream: np.random.Generator):
    """Draws of the work of one class, of its mean and coefficient of variation."""
    if cls.dist == "fixed" or cls.cv == 0:
        return lambda count: np.full(count, cls.work)
    if cls.dist == "lognormal":
        sigma = math.sqrt(math.log1p(cls.cv**2))
        return lambda count: cls.work * stream.lognormal(-sigma * sigma / 2, sigma, count)
    # An exponential one of another spread than its mean is a gamma.
    shape = 1.0 / cls.cv**2
    return lambda count: stream.gamma(shape, cls.work / shape, count)
