"""What one scheduler saw of each job worker lately, and the few bytes of it that it tells.

Guarantees: pure, time passed in. A word is good (it answered at all), bad (refused, reset, an error, or
silent on a job for SILENT_MS), or none after GOOD_MS or BAD_MS. Bounds: MOST_WORKERS workers, MOST_OPEN
unanswered jobs a worker, TOLD words of each kind and zone, MOST_ZONES zones.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from spanwing.interface import Worker

MAX_REPORT_GAP_MS = 1000.0  # between two of our own reports
ACCEPT_TIMEOUT_MS = 500.0  # a worker that lives says by then that it has a job, or that it will not take it
GOOD_EVIDENCE_MAX_AGE_MS, BAD_EVIDENCE_MAX_AGE_MS = (
    800.0,
    5000.0,
)  # how long a word is told: good ones are quick to come again, and bad ones
# have to outlast the change of a keeper that is lost together with the zone
MAX_WORKERS, MAX_UNANSWERED_REQUESTS, MAX_REPORTED_WORKERS, MAX_ZONES = 4096, 64, 24, 32
CONNECT_FAILURE_WINDOW_MS = 200.0  # less than any time to connect: others have answered within it
FAULT_PROBE_INTERVAL_MS, PROBES_INSIDE_ZONE, PROBES_OUTSIDE_ZONE = (
    500.0,
    3,
    2,
)  # on bad news, so many are asked so often at most
MAX_REPORT_BYTES = 8192  # bytes of one report


class ZoneEvidence(msgspec.Struct, array_like=True):
    """On one zone: workers by the last 16 bits of their number, and slots."""

    good: list[int]
    faulty_workers: list[int]
    slots_in_flight: float = 0.0  # slots of our jobs there
    idle_slots: float = 0.0  # slots believed idle at the workers of our own part of the fleet


class EvidenceReport(msgspec.Struct, array_like=True):
    """What goes with a renewal."""

    zones: dict[str, ZoneEvidence]


REPORT_DECODER = msgspec.json.Decoder(EvidenceReport)


def short_worker_id(worker_id: int) -> int:
    return worker_id & 0xFFFF


def decode_report(payload: bytes) -> EvidenceReport:
    """Raises ValueError where it is none, or beyond the bounds."""
    if len(payload) > MAX_REPORT_BYTES:
        raise ValueError(f"{len(payload)} bytes of evidence, {MAX_REPORT_BYTES} at most")
    report = REPORT_DECODER.decode(payload)
    for zone_evidence in report.zones.values():
        if max(len(zone_evidence.good), len(zone_evidence.faulty_workers)) > MAX_REPORTED_WORKERS or not all(
            0 <= each <= 0xFFFF for each in (*zone_evidence.good, *zone_evidence.faulty_workers)
        ):
            raise ValueError("words beyond their bounds")
        if not (0 <= zone_evidence.slots_in_flight < math.inf and 0 <= zone_evidence.idle_slots < math.inf):
            raise ValueError("slots beyond their bounds")
    if len(report.zones) > MAX_ZONES:
        raise ValueError(f"{len(report.zones)} zones, {MAX_ZONES} at most")
    return report


def choose_workers_to_probe(
    zone: str, workers: Iterable[Worker], random: Random, own_zone: str = ""
) -> list[int]:
    """Whom to ask on bad news of a zone: some of its workers, and some of others, so that our word counts; of
    our own zone only where there is no third."""
    in_zone, in_other_zones, in_own_zone = [], [], []
    for each in workers:
        if each.state == "healthy":
            (
                in_zone if each.zone == zone else in_own_zone if each.zone == own_zone else in_other_zones
            ).append(each.id)
    in_other_zones = in_other_zones or in_own_zone
    return random.sample(in_zone, min(PROBES_INSIDE_ZONE, len(in_zone))) + random.sample(
        in_other_zones, min(PROBES_OUTSIDE_ZONE, len(in_other_zones))
    )


@dataclass(slots=True)
class WorkerObservation:
    """Of one job worker."""

    zone: str
    last_good_ms: float = -math.inf
    last_bad_ms: float = -math.inf
    last_failed_request_ms: float = -math.inf  # a job there was refused, or came to nothing
    unanswered_since_ms: dict[tuple[str, int], float] = field(
        default_factory=dict
    )  # jobs, and when each was sent

    def is_healthy(self, now: float, last_good_elsewhere: float = math.inf) -> bool | None:
        """Good or bad; None: nothing was seen lately. elsewhere: when another zone last gave a good word.
        While all are silent it is the network between, or we ourselves, that stalls."""
        last_bad = self.last_bad_ms
        for sent_at in self.unanswered_since_ms.values():
            if (
                now - sent_at >= ACCEPT_TIMEOUT_MS
                and self.last_good_ms < sent_at
                and last_good_elsewhere >= sent_at + ACCEPT_TIMEOUT_MS / 2
            ):
                last_bad = now
                break
        if self.last_good_ms > last_bad:
            return True if self.last_good_ms >= now - GOOD_EVIDENCE_MAX_AGE_MS else None
        return False if last_bad >= now - BAD_EVIDENCE_MAX_AGE_MS else None


class EvidenceCollector:
    """Takes in what becomes of jobs and probes."""

    def __init__(self, own_zone: str = "") -> None:
        """zone: our own."""
        self.own_zone = own_zone
        self.observations: dict[int, WorkerObservation] = {}
        self.last_report_ms = -math.inf
        self.last_good_remote_ms = -math.inf  # the last good word of another zone than our own
        self.last_good_by_zone: dict[str, float] = {}  # by zone: its last good word

    def _observation(self, worker: int, zone: str) -> WorkerObservation:
        observation = self.observations.get(worker)
        if observation is None:
            if len(self.observations) >= MAX_WORKERS:
                del self.observations[next(iter(self.observations))]  # the one known for longest
            observation = self.observations[worker] = WorkerObservation(zone)
        observation.zone = zone
        return observation

    def _record_good(self, now: float, observation: WorkerObservation) -> None:
        if observation.zone != self.own_zone:
            if now - self.last_good_remote_ms > ACCEPT_TIMEOUT_MS:
                self._discard_if_cut_off(self.evidence_by_zone(now))  # the first good word for a while
            self.last_good_remote_ms = now
        observation.last_good_ms = self.last_good_by_zone[observation.zone] = now

    def _last_good_outside(self, zone: str) -> float:
        """When a zone other than this last gave a good word."""
        return max((at for name, at in self.last_good_by_zone.items() if name != zone), default=-math.inf)

    def _record_bad(self, now: float, observation: WorkerObservation, since: float) -> None:
        """No answer to what we asked then or later: it is bad only if others answered meanwhile."""
        if self._last_good_outside(observation.zone) >= since:
            observation.last_bad_ms = now

    def _discard_if_cut_off(self, evidence: dict[str, ZoneEvidence]) -> None:
        """Who sees nothing good in two other zones or more is cut off from them itself: what it saw until now
        is no evidence, least of all once it is back."""
        remote_zones = [name for name in evidence if name != self.own_zone]
        if len(remote_zones) > 1 and not any(evidence[name].good for name in remote_zones):
            for observation in self.observations.values():
                if observation.zone in remote_zones:
                    observation.last_bad_ms = observation.last_failed_request_ms = -math.inf
                    observation.unanswered_since_ms.clear()
            for name in remote_zones:
                del evidence[name]

    def attempt_sent(self, now: float, worker: int, zone: str, attempt: tuple[str, int]) -> None:
        observation = self._observation(worker, zone)
        if len(observation.unanswered_since_ms) < MAX_UNANSWERED_REQUESTS:
            observation.unanswered_since_ms[attempt] = now

    def attempt_accepted(self, now: float, worker: int, attempt: tuple[str, int]) -> None:
        """It has taken the job; later than it should is as bad as not at all."""
        observation = self.observations.get(worker)
        if observation is not None:
            sent_at = observation.unanswered_since_ms.pop(attempt, now)
            if now - sent_at < ACCEPT_TIMEOUT_MS:
                self._record_good(now, observation)
            else:
                self._record_bad(now, observation, sent_at + ACCEPT_TIMEOUT_MS / 2)

    def attempt_ended(self, now: float, worker: int, attempt: tuple[str, int], result: str) -> bool:
        """How the job ended there; whether that is bad news of a worker that was well."""
        observation = self.observations.get(worker)
        if observation is None:
            return False
        sent_at = observation.unanswered_since_ms.pop(attempt, None)
        if result in ("ok", "full", "rejected"):
            if sent_at is not None and now - sent_at < ACCEPT_TIMEOUT_MS:
                self._record_good(now, observation)
        elif result in ("reset", "error"):
            was_healthy = observation.is_healthy(now)
            observation.last_bad_ms = observation.last_failed_request_ms = now
            return was_healthy is not False
        elif result == "unreachable" or (result == "timeout" and sent_at is not None):
            was_healthy = observation.is_healthy(now)
            self._record_bad(now, observation, now - CONNECT_FAILURE_WINDOW_MS)
            observation.last_failed_request_ms = now
            return was_healthy is not False
        elif (
            sent_at is not None and now - sent_at >= ACCEPT_TIMEOUT_MS and observation.last_good_ms < sent_at
        ):
            self._record_bad(
                now, observation, sent_at + ACCEPT_TIMEOUT_MS / 2
            )  # given up by us, after its time to answer
        return False

    def probe_finished(
        self, now: float, worker: int, zone: str, result: str, is_fault_probe: bool = False
    ) -> bool:
        """Whether it is bad news of a worker that was well, or unknown. suspected: it was asked on bad news
        of its zone. What fails with jobs may well answer probes, so such an answer is no good word."""
        observation = self._observation(worker, zone)
        if result != "ok":
            was_healthy = observation.is_healthy(now)
            self._record_bad(now, observation, now - ACCEPT_TIMEOUT_MS)
            return was_healthy is not False
        if observation.last_failed_request_ms < now - BAD_EVIDENCE_MAX_AGE_MS and not is_fault_probe:
            self._record_good(now, observation)
        return False

    def word(self, now: float, worker: int) -> bool | None:
        """On one worker: good or bad; None: nothing was seen lately."""
        sight = self.observations.get(worker)
        return None if sight is None else sight.is_healthy(now, self._last_good_outside(sight.zone))

    def evidence_by_zone(self, now: float) -> dict[str, ZoneEvidence]:
        """What would be told of each zone now."""
        found: dict[str, ZoneEvidence] = {}
        last_good_elsewhere = {
            zone: self._last_good_outside(zone) for zone in {each.zone for each in self.observations.values()}
        }
        for worker, observation in self.observations.items():
            is_healthy = observation.is_healthy(now, last_good_elsewhere[observation.zone])
            if is_healthy is not None:
                zone_evidence = found.setdefault(observation.zone, ZoneEvidence([], []))
                target = zone_evidence.good if is_healthy else zone_evidence.faulty_workers
                if len(target) < MAX_REPORTED_WORKERS:
                    target.append(short_worker_id(worker))
        return found

    def build_report(self, now: float, slots: Iterable[tuple[str, float, float]] = ()) -> EvidenceReport:
        """slots: zone, held and idle, of each worker or of many. It is called several times a second; where
        it was not, we were stopped or stalled ourselves, and silence until now says nothing of a worker."""
        if now - self.last_report_ms > MAX_REPORT_GAP_MS:
            for observation in self.observations.values():
                observation.unanswered_since_ms.clear()
        self.last_report_ms = now
        found = self.evidence_by_zone(now)
        if len(found) > 1 and not any(words.good for words in found.values()):
            # Who sees all zones as bad is cut off itself: once it is back, what it saw until now is no
            # evidence.
            for observation in self.observations.values():
                observation.last_bad_ms = -math.inf
                observation.unanswered_since_ms.clear()
            found = {}
        self._discard_if_cut_off(found)
        for zone, in_flight, idle in slots:
            words = found.setdefault(zone, ZoneEvidence([], []))
            words.slots_in_flight, words.idle_slots = (
                words.slots_in_flight + in_flight,
                words.idle_slots + idle,
            )
        for words in found.values():
            words.slots_in_flight, words.idle_slots = (
                round(words.slots_in_flight, 1),
                round(words.idle_slots, 1),
            )
        return EvidenceReport(dict(sorted(found.items())[:MAX_ZONES]))
