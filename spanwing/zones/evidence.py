"""Evidence: one scheduler's recent observations of each worker, and the report that summarizes them.

Pure; time is passed in. Evidence on a worker is good (it answered, whatever the answer) or bad (connection
refused or reset, an error, or no answer to a request within ACCEPT_TIMEOUT_MS). It expires after
GOOD_EVIDENCE_MAX_AGE_MS or BAD_EVIDENCE_MAX_AGE_MS. Bounds: MAX_WORKERS workers, MAX_UNANSWERED_REQUESTS per
worker, MAX_REPORTED_WORKERS good and as many bad workers per zone, MAX_ZONES zones, MAX_REPORT_BYTES per
report.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from spanwing.interface import Worker
from spanwing.json_input import decode_by

MAX_REPORT_GAP_MS = 1000.0  # a longer gap between two reports shows that this process was stalled
ACCEPT_TIMEOUT_MS = 500.0  # a healthy worker accepts or rejects a request within this
# Good evidence is renewed often. Bad evidence has to last until another member has taken over the leadership,
# in case the leader failed together with the zone.
GOOD_EVIDENCE_MAX_AGE_MS, BAD_EVIDENCE_MAX_AGE_MS = (800.0, 5000.0)
MAX_WORKERS, MAX_UNANSWERED_REQUESTS, MAX_REPORTED_WORKERS, MAX_ZONES = 4096, 64, 24, 32
# A failed connection is bad evidence only if another zone answered within this; shorter than any connect
# timeout.
CONNECT_FAILURE_WINDOW_MS = 200.0
# After a fault: one round of probes per interval, to this many workers inside and outside the zone.
FAULT_PROBE_INTERVAL_MS, PROBES_INSIDE_ZONE, PROBES_OUTSIDE_ZONE = (500.0, 3, 2)
MAX_REPORT_BYTES = 8192


class ZoneEvidence(msgspec.Struct, array_like=True):
    """One scheduler's evidence on one zone; workers are given as short ids (short_worker_id())."""

    healthy_workers: list[int]
    faulty_workers: list[int]
    slots_in_flight: float = 0.0  # slots that this scheduler's requests use there
    idle_slots: float = 0.0  # estimate of idle slots at workers that this scheduler owns


class EvidenceReport(msgspec.Struct, array_like=True):
    """The evidence by zone that a scheduler sends with a renewal."""

    zones: dict[str, ZoneEvidence]


REPORT_DECODER = msgspec.json.Decoder(EvidenceReport)


def short_worker_id(worker_id: int) -> int:
    """Returns the last 16 bits of a worker's id."""
    return worker_id & 0xFFFF


def decode_report(payload: bytes) -> EvidenceReport:
    """Decodes a report. Raises ValueError if it is malformed or exceeds a bound."""
    if len(payload) > MAX_REPORT_BYTES:
        raise ValueError(f"{len(payload)} bytes in an evidence report; {MAX_REPORT_BYTES} are allowed")
    report = decode_by(REPORT_DECODER, payload)
    for zone_evidence in report.zones.values():
        if max(
            len(zone_evidence.healthy_workers), len(zone_evidence.faulty_workers)
        ) > MAX_REPORTED_WORKERS or not all(
            0 <= each <= 0xFFFF for each in (*zone_evidence.healthy_workers, *zone_evidence.faulty_workers)
        ):
            raise ValueError("evidence report: too many workers, or a short id outside 0 to 65535")
        if not (0 <= zone_evidence.slots_in_flight < math.inf and 0 <= zone_evidence.idle_slots < math.inf):
            raise ValueError("evidence report: slots are negative or not finite")
    if len(report.zones) > MAX_ZONES:
        raise ValueError(f"{len(report.zones)} zones in an evidence report; {MAX_ZONES} are allowed")
    return report


def choose_workers_to_probe(
    zone: str, workers: Iterable[Worker], random_source: Random, own_zone: str = ""
) -> list[int]:
    """Returns randomly chosen healthy workers to probe after a fault in a zone.

    These are up to PROBES_INSIDE_ZONE workers of the zone, and up to PROBES_OUTSIDE_ZONE of other zones,
    without which this scheduler's evidence may not be credible. Workers of the scheduler's own zone serve as
    the latter only if there is no third zone.
    """
    in_zone, in_other_zones, in_own_zone = [], [], []
    for each in workers:
        if each.state == "healthy":
            (
                in_zone if each.zone == zone else in_own_zone if each.zone == own_zone else in_other_zones
            ).append(each.id)
    in_other_zones = in_other_zones or in_own_zone
    return random_source.sample(in_zone, min(PROBES_INSIDE_ZONE, len(in_zone))) + random_source.sample(
        in_other_zones, min(PROBES_OUTSIDE_ZONE, len(in_other_zones))
    )


@dataclass(slots=True)
class WorkerObservation:
    """The latest observations of one worker; times are in ms."""

    zone: str
    last_good_ms: float = -math.inf
    last_answered_ms: float = -math.inf  # when the latest request or probe was sent that gave good evidence
    last_bad_ms: float = -math.inf
    bad_since_ms: float = -math.inf  # when the last bad evidence came after good or none
    last_failed_request_ms: float = -math.inf  # when a request, not a probe, last failed there
    unanswered_since_ms: dict[tuple[str, int], float] = field(
        default_factory=dict
    )  # by attempt: when it was sent

    def note_bad(self, now: float) -> None:
        """Records bad evidence."""
        if self.is_healthy(now) is not False:
            self.bad_since_ms = now
        self.last_bad_ms = now

    def is_healthy(self, now: float, last_good_elsewhere: float = math.inf) -> bool | None:
        """Returns True if the evidence is good, False if it is bad, None if there is none or it has expired.

        last_good_elsewhere: when there last was good evidence on another zone. If all zones are silent, the
        network or this process is stalled, so silence does not count as bad evidence.
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
    """Collects evidence from the results of attempts and probes, and builds the reports."""

    def __init__(self, own_zone: str = "") -> None:
        """Creates a collector without evidence. own_zone: this scheduler's zone."""
        self.own_zone = own_zone
        self.observations: dict[int, WorkerObservation] = {}
        self.last_report_ms = -math.inf
        self.last_good_remote_ms = -math.inf  # last good evidence on a zone other than own_zone
        self.last_good_by_zone_ms: dict[str, float] = {}
        #: No other scheduler's evidence counts. Good evidence then shows that this scheduler is connected
        #: only if its request was sent after the last fault in another zone; else it is left out. The answer
        #: to an earlier request may have arrived before the fault and be read after it.
        self.is_alone = False

    def _observation(self, worker: int, zone: str) -> WorkerObservation:
        observation = self.observations.get(worker)
        if observation is None:
            if len(self.observations) >= MAX_WORKERS:
                del self.observations[next(iter(self.observations))]  # the first recorded
            observation = self.observations[worker] = WorkerObservation(zone)
        observation.zone = zone
        return observation

    def _record_good(self, now: float, observation: WorkerObservation, sent_at: float) -> None:
        if observation.zone != self.own_zone:
            if now - self.last_good_remote_ms > ACCEPT_TIMEOUT_MS:
                # The first good evidence on a remote zone after a gap.
                self._discard_if_cut_off(self.evidence_by_zone(now))
            self.last_good_remote_ms = now
        observation.last_good_ms = self.last_good_by_zone_ms[observation.zone] = now
        observation.last_answered_ms = max(observation.last_answered_ms, sent_at)

    def _last_good_outside(self, zone: str) -> float:
        """Returns when there last was good evidence on any other zone than this one; -inf: never."""
        return max(
            (good_at for name, good_at in self.last_good_by_zone_ms.items() if name != zone),
            default=-math.inf,
        )

    def _record_bad(self, now: float, observation: WorkerObservation, since: float) -> None:
        """Records bad evidence if any other zone has answered since this time."""
        if self._last_good_outside(observation.zone) >= since:
            observation.note_bad(now)

    def _discard_if_cut_off(self, evidence: dict[str, ZoneEvidence]) -> None:
        """Drops bad evidence and unanswered requests of remote zones if this scheduler is cut off from them.

        That is the case if it has evidence on two or more remote zones and none of it is good. The fault is
        then its own connection, and this evidence must not count once it is connected again.
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
        """Records that an attempt was sent. Ignored beyond MAX_UNANSWERED_REQUESTS of the worker."""
        observation = self._observation(worker, zone)
        if len(observation.unanswered_since_ms) < MAX_UNANSWERED_REQUESTS:
            observation.unanswered_since_ms[attempt] = now

    def attempt_accepted(self, now: float, worker: int, attempt: tuple[str, int]) -> None:
        """Records that a worker accepted an attempt.

        Within ACCEPT_TIMEOUT_MS that is good evidence. Later the worker counts as having been silent, which
        is bad evidence if another zone has answered meanwhile.
        """
        observation = self.observations.get(worker)
        if observation is not None:
            sent_at = observation.unanswered_since_ms.pop(attempt, None)
            if sent_at is None:  # not recorded, as too many were unanswered, or discarded
                self._record_good(now, observation, -math.inf)
            elif now - sent_at < ACCEPT_TIMEOUT_MS:
                self._record_good(now, observation, sent_at)
            else:
                self._record_bad(now, observation, sent_at + ACCEPT_TIMEOUT_MS / 2)

    def attempt_ended(self, now: float, worker: int, attempt: tuple[str, int], result: str) -> bool:
        """Records how an attempt ended; returns whether it failed at a worker without bad evidence so far."""
        observation = self.observations.get(worker)
        if observation is None:
            return False
        sent_at = observation.unanswered_since_ms.pop(attempt, None)
        if result in ("ok", "full", "rejected"):
            if sent_at is not None and now - sent_at < ACCEPT_TIMEOUT_MS:
                self._record_good(now, observation, sent_at)
        elif result in ("reset", "error"):
            was_healthy = observation.is_healthy(now)
            observation.note_bad(now)
            observation.last_failed_request_ms = now
            return was_healthy is not False
        elif result == "unreachable" or (result == "timeout" and sent_at is not None):
            was_healthy = observation.is_healthy(now)
            self._record_bad(now, observation, now - CONNECT_FAILURE_WINDOW_MS)
            observation.last_failed_request_ms = now
            return was_healthy is not False
        elif (
            sent_at is not None and now - sent_at >= ACCEPT_TIMEOUT_MS and observation.last_good_ms < sent_at
        ):
            # Cancelled by this scheduler after the worker should have answered.
            self._record_bad(now, observation, sent_at + ACCEPT_TIMEOUT_MS / 2)
        return False

    def probe_finished(
        self,
        now: float,
        worker: int,
        zone: str,
        result: str,
        is_fault_probe: bool = False,
        elapsed_ms: float = 0.0,
    ) -> bool:
        """Records how a probe ended; returns whether it failed at a worker without bad evidence so far.

        is_fault_probe: the probe was sent because of a fault in its zone. Its answer is no good evidence, as
        a worker that fails requests may still answer probes. elapsed_ms: how long the probe took.
        """
        observation = self._observation(worker, zone)
        if result != "ok":
            was_healthy = observation.is_healthy(now)
            self._record_bad(now, observation, now - ACCEPT_TIMEOUT_MS)
            return was_healthy is not False
        if observation.last_failed_request_ms < now - BAD_EVIDENCE_MAX_AGE_MS and not is_fault_probe:
            self._record_good(now, observation, now - elapsed_ms)
        return False

    def worker_health(self, now: float, worker: int) -> bool | None:
        """Returns True if the evidence on a worker is good, False if it is bad, None if there is none."""
        observation = self.observations.get(worker)
        return (
            None
            if observation is None
            else observation.is_healthy(now, self._last_good_outside(observation.zone))
        )

    def evidence_by_zone(self, now: float) -> dict[str, ZoneEvidence]:
        """Returns the evidence on each zone that has not expired, without slots."""
        evidence: dict[str, ZoneEvidence] = {}
        last_good_elsewhere = {
            zone: self._last_good_outside(zone) for zone in {each.zone for each in self.observations.values()}
        }
        fault_by_zone_ms = self._last_fault_by_zone_ms(now) if self.is_alone else {}
        for worker, observation in self.observations.items():
            is_healthy = observation.is_healthy(now, last_good_elsewhere[observation.zone])
            is_outdated = is_healthy and any(
                observation.last_answered_ms < fault_ms
                for zone, fault_ms in fault_by_zone_ms.items()
                if zone != observation.zone
            )
            if is_healthy is not None and not is_outdated:
                zone_evidence = evidence.setdefault(observation.zone, ZoneEvidence([], []))
                target = zone_evidence.healthy_workers if is_healthy else zone_evidence.faulty_workers
                if len(target) < MAX_REPORTED_WORKERS:
                    target.append(short_worker_id(worker))
        return evidence

    def _last_fault_by_zone_ms(self, now: float) -> dict[str, float]:
        """Returns, by zone with bad evidence, when a worker there last began to be bad."""
        faults: dict[str, float] = {}
        for observation in self.observations.values():
            if observation.is_healthy(now) is False:
                zone = observation.zone
                faults[zone] = max(faults.get(zone, -math.inf), observation.bad_since_ms)
        return faults

    def build_report(self, now: float, slots: Iterable[tuple[str, float, float]] = ()) -> EvidenceReport:
        """Builds the report for a renewal.

        slots: zone, slots in flight and idle slots, any number of items per zone, which are added up. To be
        called several times a second: a gap above MAX_REPORT_GAP_MS means that this process was stopped or
        stalled, so silence until now says nothing about a worker.
        """
        if now - self.last_report_ms > MAX_REPORT_GAP_MS:
            for observation in self.observations.values():
                observation.unanswered_since_ms.clear()
        self.last_report_ms = now
        evidence = self.evidence_by_zone(now)
        if len(evidence) > 1 and not any(each.healthy_workers for each in evidence.values()):
            # A scheduler with bad evidence on all zones is itself cut off: it discards this evidence.
            for observation in self.observations.values():
                observation.last_bad_ms = -math.inf
                observation.unanswered_since_ms.clear()
            evidence = {}
        self._discard_if_cut_off(evidence)
        for zone, in_flight, idle in slots:
            zone_evidence = evidence.setdefault(zone, ZoneEvidence([], []))
            zone_evidence.slots_in_flight, zone_evidence.idle_slots = (
                zone_evidence.slots_in_flight + in_flight,
                zone_evidence.idle_slots + idle,
            )
        for zone_evidence in evidence.values():
            zone_evidence.slots_in_flight, zone_evidence.idle_slots = (
                round(zone_evidence.slots_in_flight, 1),
                round(zone_evidence.idle_slots, 1),
            )
        return EvidenceReport(dict(sorted(evidence.items())[:MAX_ZONES]))
