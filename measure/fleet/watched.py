"""A scheduler that writes down under which version of the fleet's policy it takes each job; for days that
check it, nothing else starts one.

    .venv/bin/python -m measure.fleet.watched FOLDER [BUG]

BUG: stopped (a permit is not looked at once it was granted), closing (jobs are taken while a change closes).
"""

from __future__ import annotations

import os
import sys

from measure.fleet.parts import Log


def watch(folder: str, bug: str) -> None:
    from spanwing.core.messages import RequestSubmitted
    from spanwing.policy.participant import AdmissionDecision, PolicyParticipant
    from spanwing.policy.service import PolicyService
    from spanwing.store.lease import Lease

    log, admits, may = (
        Log(f"{folder}/takes-{os.getpid()}.log"),
        PolicyService.admit,
        PolicyParticipant.decide_admission,
    )

    def written(self: PolicyService, take: RequestSubmitted) -> bool:
        taken = admits(self, take)
        if taken:
            log.put(ev="taken", job=take.request.id, version=self.active_version.number, scheduler=self.name)
        return taken

    def careless(self: PolicyParticipant, now: float) -> AdmissionDecision:
        found = may(self, now)
        return AdmissionDecision("take", self.policy.now.number) if found.action == "hold" else found

    PolicyService.admit = written
    if bug == "stopped":
        Lease.is_valid = lambda self, now: self.expires_at_ms > float("-inf")
    if bug == "closing":
        PolicyParticipant.decide_admission = careless


if __name__ == "__main__":
    watch(sys.argv.pop(1), sys.argv.pop(1) if len(sys.argv) > 1 else "")
    from spanwing.__main__ import main

    main()
