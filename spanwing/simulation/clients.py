"""Models clients: what they request, when, how long they wait, and how they react to a rejection.

Does no I/O and reads no clock. Arrivals are a Poisson process whose rate varies over the day (thinning,
Lewis and Shedler 1979). Clients do not wait for earlier answers (open loop), so a slow scheduler does not
reduce the load. Each property of a request has its own random stream, so the work of the nth request does
not depend on what happens to other requests.
"""

from __future__ import annotations

import math
from typing import Literal, NamedTuple

import numpy as np

from spanwing.simulation.random_streams import RandomStreams

BackoffKind = Literal["none", "at once", "fixed", "exponential"]
DRAWS_PER_BATCH = 1024


class ClassSpec(NamedTuple):
    """Describes one class of requests; times in ms."""

    name: str
    share: float
    mean_work_ms: float  # at speed 1
    distribution: Literal["exp", "lognormal", "fixed"] = "exp"
    work_cv: float = 1.0  # coefficient of variation
    latency_objective_ms: float = 300.0
    deadline_ms: float = 5000.0
    objective_stretch: float = 0.0  # this multiple of the work is added to the latency objective
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight that an answer after the latency objective earns
    idempotency: Literal["safe", "keyed", "unsafe"] = "safe"
    priority: int = 0
    worker_kind: str | None = None
    deduplication_window_ms: float = 0.0
    slot_shares: tuple[float, ...] = (1.0,)  # shares of requests that take 1, 2, 4, 8 ... slots
    memory: float = 0.0

    def mean_slots(self) -> float:
        """Returns the mean number of slots of a request of this class."""
        return sum(share * 2**power for power, share in enumerate(self.slot_shares)) / sum(self.slot_shares)


class TenantSpec(NamedTuple):
    """Describes one tenant: its share of the load and its quota."""

    name: str
    share: float
    quota: float = math.inf  # requests a second


class RetrySpec(NamedTuple):
    """Describes how clients react to a rejection."""

    max_retries: int = 0
    backoff: BackoffKind = "none"
    base_backoff_ms: float = 30.0
    retry_after_honour_share: float = 0.6  # share of requests whose client honours Retry-After
    has_jitter: bool = True

    def next_delay_ms(
        self, submission_count: int, retry_after_ms: float, honours_retry_after: bool, jitter_draw: float
    ) -> float | None:
        """Returns the delay until the next retry in ms, or None if the client gives up.

        `submission_count` is the number of submissions so far, `retry_after_ms` the delay that the rejection
        asked for, and `jitter_draw` a uniform draw from [0, 1).
        """
        if submission_count > self.max_retries or self.backoff == "none":
            return None
        exponential_ms = self.base_backoff_ms * 2.0 ** (submission_count - 1)
        delay_ms = {"at once": 0.0, "fixed": self.base_backoff_ms, "exponential": exponential_ms}[
            self.backoff
        ]
        if self.has_jitter:
            # Full jitter for exponential backoff, 50% to 150% of the delay otherwise, so that clients that
            # were rejected together do not retry together.
            delay_ms *= jitter_draw if self.backoff == "exponential" else 0.5 + jitter_draw
        return max(delay_ms, retry_after_ms) if honours_retry_after else delay_ms


class LoadSpec(NamedTuple):
    """Describes how many requests arrive, and how they are distributed."""

    rate: float  # mean, in requests a second
    daily_swing: float = 0.0  # amplitude of the daily sine of the rate, relative to its mean
    day_ms: float = 60_000.0
    key_count: int = 1000
    zipf_exponent: float = 1.1  # of the popularity of sticky keys
    impatient_share: float = 0.0  # share of requests whose client leaves before the deadline
    attempt_work_cv: float = 0.0  # variation of the work between attempts of one request
    #: Shares of the clients by zone; empty: clients have no zone.
    client_zone_shares: tuple[tuple[str, float], ...] = ()


class GeneratedRequest(NamedTuple):
    """One request as its client generates it; times in ms."""

    id: str
    arrives_at_ms: float
    class_spec: ClassSpec
    tenant: str
    sticky_key: str
    work_ms: float
    patience_ms: float  # time from arrival until the client leaves
    retry_after_draw: float  # in [0, 1); the client honours Retry-After if below retry_after_honour_share
    slots: int = 1
    zone: str = ""


class BufferedDraws:
    """Draws values of one random stream in batches and returns them one by one."""

    def __init__(self, draw_batch, batch_size: int = DRAWS_PER_BATCH) -> None:
        self.draw_batch, self.batch_size, self.remaining = draw_batch, batch_size, []

    def __call__(self) -> float:
        """Returns the next value of the stream."""
        if not self.remaining:
            self.remaining = self.draw_batch(self.batch_size)[::-1].tolist()
        return self.remaining.pop()


class ClientModel:
    """Generates the requests of all clients in order of arrival.

    Faults change `load_factor_by_tenant` while the simulation runs.
    """

    def __init__(
        self,
        load: LoadSpec,
        classes: tuple[ClassSpec, ...],
        tenants: tuple[TenantSpec, ...],
        streams: RandomStreams,
    ) -> None:
        assert load.rate > 0
        assert 0 <= load.daily_swing < 1
        assert classes
        assert tenants
        self.load_spec, self.classes, self.tenants, self.request_count = load, classes, tenants, 0
        self.load_factor_by_tenant: dict[str, float] = {}  # current multiple of a tenant's load; absent: 1
        self.last_arrival_ms = 0.0
        # Stream names are part of the seeding: another name gives other requests for the same seed.
        uniform_draws = {
            name: BufferedDraws(streams.stream("clients", name).random)
            for name in ("thin", "class", "brand", "leave", "heed", "leave when", "slots", "zone")
        }
        self.uniform_draws = uniform_draws
        gap_stream = streams.stream("clients", "gap")
        self.draw_gap = BufferedDraws(lambda count: gap_stream.exponential(1.0, count))
        self.draw_work_by_class = {
            each.name: BufferedDraws(_work_distribution(each, streams.stream("clients", "work", each.name)))
            for each in classes
        }
        self.cumulative_class_shares = np.cumsum([each.share for each in classes]) / sum(
            each.share for each in classes
        )
        rank_weights = np.arange(1, load.key_count + 1, dtype=float) ** -load.zipf_exponent
        cumulative_popularity = np.cumsum(rank_weights) / rank_weights.sum()
        key_stream = streams.stream("clients", "key")
        self.draw_key = BufferedDraws(
            lambda count: np.searchsorted(cumulative_popularity, key_stream.random(count)).astype(float)
        )

    def rate_at(self, time_ms: float) -> float:
        """Returns the arrival rate at this simulated time, in requests a second."""
        shape = 1.0 + self.load_spec.daily_swing * math.sin(
            2 * math.pi * (time_ms / self.load_spec.day_ms - 0.25)
        )
        return self.load_spec.rate * shape * self._tenant_weights()[1]

    def _tenant_weights(self) -> tuple[list[float], float]:
        """Returns the current weight of each tenant, and the factor by which they change the total load."""
        weights = [each.share * self.load_factor_by_tenant.get(each.name, 1.0) for each in self.tenants]
        return weights, sum(weights) / sum(each.share for each in self.tenants)

    def next_request(self) -> GeneratedRequest:
        """Returns the next request, which arrives at or after the previous one."""
        max_rate = self.load_spec.rate * (1.0 + self.load_spec.daily_swing) * self._tenant_weights()[1]
        while True:
            self.last_arrival_ms += self.draw_gap() * 1000.0 / max_rate
            if self.uniform_draws["thin"]() * max_rate <= self.rate_at(self.last_arrival_ms):
                return self._make_request()

    def _make_request(self) -> GeneratedRequest:
        """Draws the properties of the request that arrives at `last_arrival_ms`."""
        self.request_count += 1
        uniform_draws = self.uniform_draws
        class_spec = self.classes[
            int(np.searchsorted(self.cumulative_class_shares, uniform_draws["class"]()))
        ]
        weights, _ = self._tenant_weights()
        tenant_draw = uniform_draws["brand"]() * sum(weights)
        tenant = self.tenants[-1].name
        for each, weight in zip(self.tenants, weights, strict=True):
            tenant_draw -= weight
            if tenant_draw < 0:
                tenant = each.name
                break
        patience_ms = class_spec.deadline_ms
        leave_draw, leave_time_draw = uniform_draws["leave"](), uniform_draws["leave when"]()
        if leave_draw < self.load_spec.impatient_share:
            patience_ms *= leave_time_draw
        return GeneratedRequest(
            f"r{self.request_count:09d}",
            self.last_arrival_ms,
            class_spec,
            tenant,
            f"{class_spec.name}-{int(self.draw_key())}",
            self.draw_work_by_class[class_spec.name](),
            patience_ms,
            uniform_draws["heed"](),
            2 ** _index_of_draw(class_spec.slot_shares, uniform_draws["slots"]()),
            self._draw_zone(uniform_draws["zone"]()),
        )

    def _draw_zone(self, draw: float) -> str:
        """Returns the client's zone for a uniform draw, or "" if clients have no zone."""
        zones = self.load_spec.client_zone_shares
        return zones[_index_of_draw(tuple(share for _, share in zones), draw)][0] if zones else ""


def _index_of_draw(shares: tuple[float, ...], draw: float) -> int:
    """Returns the index of the share that a uniform draw in [0, 1) selects; shares need not add up to 1."""
    draw *= sum(shares)
    for index, share in enumerate(shares):
        draw -= share
        if draw < 0:
            return index
    return len(shares) - 1


def _work_distribution(class_spec: ClassSpec, stream: np.random.Generator):
    """Returns a function that draws work, in ms at speed 1, with a class's mean and variation."""
    if class_spec.distribution == "fixed" or class_spec.work_cv == 0:
        return lambda count: np.full(count, class_spec.mean_work_ms)
    if class_spec.distribution == "lognormal":
        sigma = math.sqrt(math.log1p(class_spec.work_cv**2))
        return lambda count: class_spec.mean_work_ms * stream.lognormal(-sigma * sigma / 2, sigma, count)
    # `exp` is a gamma distribution, which is exponential at a coefficient of variation of 1.
    shape = 1.0 / class_spec.work_cv**2
    return lambda count: stream.gamma(shape, class_spec.mean_work_ms / shape, count)
