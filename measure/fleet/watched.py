"""A scheduler that records under which policy version it accepts each job.

    .venv/bin/python -m measure.fleet.watched FOLDER [BUG]

The records go to takes-PID.log in FOLDER, where check.version_regressions finds them. BUG plants a bug:
stopped: a permit stays valid for ever once it has been granted.
closing: jobs are accepted while a policy change is closing.

Only the checks of a fleet start this program.
"""

from __future__ import annotations

import os
import sys

from measure.fleet.parts import Log


def install_recorder(folder: str, bug: str) -> None:
    """Replaces the admission of PolicyService by one that records each accepted job, and plants a bug."""
    from spanwing.core.messages import RequestSubmitted
    from spanwing.policy.participant import AdmissionDecision, PolicyParticipant
    from spanwing.policy.service import PolicyService
    from spanwing.store.lease import Lease

    log, original_admit, original_decide_admission = (
        Log(f"{folder}/takes-{os.getpid()}.log"),
        PolicyService.admit,
        PolicyParticipant.decide_admission,
    )

    def admit_and_record(self: PolicyService, submitted: RequestSubmitted) -> bool:
        is_accepted = original_admit(self, submitted)
        if is_accepted:
            log.write(
                ev="taken",
                job=submitted.request.id,
                version=self.active_version.number,
                scheduler=self.name,
            )
        return is_accepted

    def accept_while_closing(self: PolicyParticipant, now: float) -> AdmissionDecision:
        decision = original_decide_admission(self, now)
        return AdmissionDecision("take", self.policy.now.number) if decision.action == "hold" else decision

    PolicyService.admit = admit_and_record
    if bug == "stopped":
        Lease.is_valid = lambda self, now: self.expires_at_ms > float("-inf")
    if bug == "closing":
        PolicyParticipant.decide_admission = accept_while_closing


if __name__ == "__main__":
    install_recorder(sys.argv.pop(1), sys.argv.pop(1) if len(sys.argv) > 1 else "")
    from spanwing.__main__ import main

    main()
