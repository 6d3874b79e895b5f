"""Evidence: what one scheduler saw of each worker lately, and the short report of it.

Pure; time is passed in. A worker's evidence is good (it answered at all), bad (connection refused or reset,
an error, or no answer to a request within ACCEPT_TIMEOUT_MS), or none once it is older than
GOOD_EVIDENCE_MAX_AGE_MS or BAD_EVIDENCE_MAX_AGE_MS. Bounds: MAX_WORKERS workers, MAX_UNANSWERED_REQUESTS per
worker, MAX_REPORTED_WORKERS of each kind per zone, MAX_ZONES zones, MAX_REPORT_BYTES per report.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from spanwing.interface import Worker

MAX_REPORT_GAP_MS = 1000.0  # longest gap between two own reports
ACCEPT_TIMEOUT_MS = 500.0  # a live worker accepts or rejects a request within this
GOOD_EVIDENCE_MAX_AGE_MS, BAD_EVIDENCE_MAX_AGE_MS = (
    800.0,
    5000.0,
)  # age at which evidence is dropped: good evidence is soon renewed, bad evidence
# has to outlast the change of a leader that is lost together with the zone
MAX_WORKERS, MAX_UNANSWERED_REQUESTS, MAX_REPORTED_WORKERS, MAX_ZONES = 4096, 64, 24, 32
CONNECT_FAILURE_WINDOW_MS = 200.0  # less than any connect timeout; others must have answered within it
FAULT_PROBE_INTERVAL_MS, PROBES_INSIDE_ZONE, PROBES_OUTSIDE_ZONE = (
    500.0,
    3,
    2,
)  # on a fault: probes per round, one round per interval
MAX_REPORT_BYTES = 8192


class ZoneEvidence(msgspec.Struct, array_like=True):
    """Evidence on one zone: workers by the last 16 bits of their id, and slots."""

    healthy_workers: list[int]
    faulty_workers: list[int]
    slots_in_flight: float = 0.0  # slots of this scheduler's requests there
    idle_slots: float = 0.0  # slots believed idle at owned workers


class EvidenceReport(msgspec.Struct, array_like=True):
    """The evidence that goes with a renewal."""

    zones: dict[str, ZoneEvidence]


REPORT_DECODER = msgspec.json.Decoder(EvidenceReport)


def short_worker_id(worker_id: int) -> int:
    """Returns the last 16 bits of a worker's id."""
    return worker_id & 0xFFFF


def decode_report(payload: bytes) -> EvidenceReport:
    """Decodes a report. Raises ValueError if it is malformed or beyond the bounds."""
    if len(payload) > MAX_REPORT_BYTES:
        raise ValueError(f"{len(payload)} bytes of evidence, {MAX_REPORT_BYTES} at most")
    report = REPORT_DECODER.decode(payload)
    for zone_evidence in report.zones.values():
        if max(
            len(zone_evidence.healthy_workers), len(zone_evidence.faulty_workers)
        ) > MAX_REPORTED_WORKERS or not all(
            0 <= each <= 0xFFFF for each in (*zone_evidence.healthy_workers, *zone_evidence.faulty_workers)
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
    """Returns at random the workers to probe on a fault in a zone.

    PROBES_INSIDE_ZONE of the zone, and PROBES_OUTSIDE_ZONE of others so that this scheduler's evidence is
    credible; workers of its own zone serve for these only where there is no third zone.
    """
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
    """What was seen of one worker."""

    zone: str
    last_good_ms: float = -math.inf
    last_bad_ms: float = -math.inf
    last_failed_request_ms: float = -math.inf  # a request there failed
    unanswered_since_ms: dict[tuple[str, int], float] = field(default_factory=dict)  # by attempt: sent at

    def is_healthy(self, now: float, last_good_elsewhere: float = math.inf) -> bool | None:
        """Returns True for good evidence, False for bad, None for none lately.

        last_good_elsewhere: when another zone last gave good evidence. While all zones are silent, the
        network between or this process itself is stalled, and silence is not held against the worker.
        """
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
    """Collects evidence from the results of attempts and probes."""

    def __init__(self, own_zone: str = "") -> None:
        """own_zone: this scheduler's zone."""
        self.own_zone = own_zone
        self.observations: dict[int, WorkerObservation] = {}
        self.last_report_ms = -math.inf
        self.last_good_remote_ms = -math.inf  # last good evidence of a remote zone
        self.last_good_by_zone: dict[str, float] = {}  # last good evidence by zone

    def _observation(self, worker: int, zone: str) -> WorkerObservation:
        observation = self.observations.get(worker)
        if observation is None:
            if len(self.observations) >= MAX_WORKERS:
                del self.observations[next(iter(self.observations))]  # the oldest
            observation = self.observations[worker] = WorkerObservation(zone)
        observation.zone = zone
        return observation

    def _record_good(self, now: float, observation: WorkerObservation) -> None:
        if observation.zone != self.own_zone:
            if now - self.last_good_remote_ms > ACCEPT_TIMEOUT_MS:
                self._discard_if_cut_off(self.evidence_by_zone(now))  # the first good evidence for a while
            self.last_good_remote_ms = now
        observation.last_good_ms = self.last_good_by_zone[observation.zone] = now

    def _last_good_outside(self, zone: str) -> float:
        """Returns when a zone other than this one last gave good evidence."""
        return max((at for name, at in self.last_good_by_zone.items() if name != zone), default=-math.inf)

    def _record_bad(self, now: float, observation: WorkerObservation, since: float) -> None:
        """Records bad evidence for silence since then.

        It counts only if another zone has answered meanwhile.
        """
        if self._last_good_outside(observation.zone) >= since:
            observation.last_bad_ms = now

    def _discard_if_cut_off(self, evidence: dict[str, ZoneEvidence]) -> None:
        """Drops evidence on remote zones if this scheduler is cut off from them.

        It is if it sees two or more other zones and nothing good in any: what it saw until now is no
        evidence, least of all once it is connected again.
        """
        remote_zones = [name for name in evidence if name != self.own_zone]
        if len(remote_zones) > 1 and not any(evidence[name].healthy_workers for name in remote_zones):
            for observation in self.observations.values():
                if observation.zone in remote_zones:
                    observation.last_bad_ms = observation.last_failed_request_ms = -math.inf
                    observation.unanswered_since_ms.clear()
            for name in remote_zones:
                del evidence[name]

    def attempt_sent(self, now: float, worker: int, zone: str, attempt: tuple[str, int]) -> None:
        """Records that an attempt was sent and is unanswered."""
        observation = self._observation(worker, zone)
        if len(observation.unanswered_since_ms) < MAX_UNANSWERED_REQUESTS:
            observation.unanswered_since_ms[attempt] = now

    def attempt_accepted(self, now: float, worker: int, attempt: tuple[str, int]) -> None:
        """Records that a worker accepted an attempt; after ACCEPT_TIMEOUT_MS that counts as silence."""
        observation = self.observations.get(worker)
        if observation is not None:
            sent_at = observation.unanswered_since_ms.pop(attempt, now)
            if now - sent_at < ACCEPT_TIMEOUT_MS:
                self._record_good(now, observation)
            else:
                self._record_bad(now, observation, sent_at + ACCEPT_TIMEOUT_MS / 2)

    def attempt_ended(self, now: float, worker: int, attempt: tuple[str, int], result: str) -> bool:
        """Records how an attempt ended; returns whether that is the fault of a worker not known as bad."""
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
            )  # cancelled here after its time to answer
        return False

    def probe_finished(
        self, now: float, worker: int, zone: str, result: str, is_fault_probe: bool = False
    ) -> bool:
        """Records how a probe ended; returns whether that is the fault of a worker not known as bad.

        is_fault_probe: the probe was sent on a fault in its zone. A worker that fails requests may well
        answer probes, so such an answer is not good evidence.
        """
        observation = self._observation(worker, zone)
        if result != "ok":
            was_healthy = observation.is_healthy(now)
            self._record_bad(now, observation, now - ACCEPT_TIMEOUT_MS)
            return was_healthy is not False
        if observation.last_failed_request_ms < now - BAD_EVIDENCE_MAX_AGE_MS and not is_fault_probe:
            self._record_good(now, observation)
        return False

    def worker_health(self, now: float, worker: int) -> bool | None:
        """Returns True for good evidence on a worker, False for bad, None for none lately."""
        sight = self.observations.get(worker)
        return None if sight is None else sight.is_healthy(now, self._last_good_outside(sight.zone))

    def evidence_by_zone(self, now: float) -> dict[str, ZoneEvidence]:
        """Returns the evidence on each zone as it would be reported now."""
        found: dict[str, ZoneEvidence] = {}
        last_good_elsewhere = {
            zone: self._last_good_outside(zone) for zone in {each.zone for each in self.observations.values()}
        }
        for worker, observation in self.observations.items():
            is_healthy = observation.is_healthy(now, last_good_elsewhere[observation.zone])
            if is_healthy is not None:
                zone_evidence = found.setdefault(observation.zone, ZoneEvidence([], []))
                target = zone_evidence.healthy_workers if is_healthy else zone_evidence.faulty_workers
                if len(target) < MAX_REPORTED_WORKERS:
                    target.append(short_worker_id(worker))
        return found

    def build_report(self, now: float, slots: Iterable[tuple[str, float, float]] = ()) -> EvidenceReport:
        """Builds the report for a renewal.

        slots: zone, slots in flight and idle slots, one item per worker or for several. Expected several
        times a second: after a gap above MAX_REPORT_GAP_MS this process was stopped or stalled itself, and
        silence until now says nothing about a worker.
        """
        if now - self.last_report_ms > MAX_REPORT_GAP_MS:
            for observation in self.observations.values():
                observation.unanswered_since_ms.clear()
        self.last_report_ms = now
        found = self.evidence_by_zone(now)
        if len(found) > 1 and not any(words.healthy_workers for words in found.values()):
            # A scheduler that sees all zones as bad is cut off itself: its evidence until now is void.
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
