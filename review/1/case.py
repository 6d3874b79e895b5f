"""A hand-back that is told twice, as the answer to the call was lost, ends the next attempt of the job.

The job is of a class that must never run twice. The scheduler takes the repeated call for the end of the
attempt that runs, and refuses the request or sends it once more.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.standins import (
    HOST,
    Discovery,
    Job,
    Proxy,
    Record,
    Scheduler,
    Worker,
    base_config,
    has_trouble,
    run_case,
    send_job,
)

RUN_S = 2.0  # schedule-apply: 1,400 to 2,600 ms of running on average
BUDGET_MS = 12000
JOBS = 3
CLIENT_RETRIES = 2  # "Clients retry by themselves up to 2 times"


async def apply_schedule(scheduler: tuple[str, int], record: Record, number: int) -> None:
    """Sends one job; tries again only after a refusal, each time with a new id."""
    for retry in range(1 + CLIENT_RETRIES):
        request_id = f"9b1f03aa5c7e2d{number}{retry}"
        body = f'{{"schedule":"house {number}"}}'.encode()
        status = await send_job(scheduler, record, request_id, "schedule-apply", BUDGET_MS, body)
        if status not in (429, 503):
            return
        await asyncio.sleep(0.06)


async def play(record: Record) -> bool:
    """Returns whether a job ran twice, or was refused although it ran."""
    discovery = Discovery([])
    await discovery.start()
    config = base_config(discovery)
    port = int(config["listen"].rpartition(":")[2])
    link = Proxy((HOST, port))  # the job worker's calls reach the scheduler by it
    await link.start()
    worker = Worker("s-0badcafe", record, (HOST, link.port), run_s=RUN_S)
    await worker.start()
    bodies_handed_back: set[bytes] = set()
    calls_to_lose: set[str] = set()
    lost_answers: set[str] = set()

    async def hand_back(job: Job) -> bool:
        """Hands a job back unstarted when it comes for the first time."""
        if job.body in bodies_handed_back:
            return False
        bodies_handed_back.add(job.body)
        await asyncio.sleep(0.05)
        worker.end(job)
        record(f"{worker.name}: {job.id} is handed back unstarted")
        if has_trouble():
            calls_to_lose.add(job.id)
        await worker.tell(job.id, "returned")
        return True

    def loses_answer(data: bytes) -> bool:
        for request_id in list(calls_to_lose):
            if request_id.encode() in data and b'"returned"' in data:
                calls_to_lose.discard(request_id)
                lost_answers.add(request_id)
                record(f"link: the call reaches the scheduler, its answer gets lost ({request_id})")
                return True
        return False

    worker.on_job, link.loses_answer = hand_back, loses_answer
    discovery.members.append(worker.entry())
    config["known"] = discovery.whole_list()
    scheduler = Scheduler("n0", config)
    try:
        await scheduler.start()
        for number in range(JOBS):
            await apply_schedule(scheduler.address, record, number)
        await asyncio.sleep(RUN_S + 0.5)
    finally:
        await scheduler.close()
    if len(bodies_handed_back) < JOBS or len(lost_answers) < JOBS * has_trouble():
        raise RuntimeError("not every job was handed back, or not every answer was lost as planned")
    is_broken = False
    for number in range(JOBS):
        runs = [request_id for _, request_id in worker.runs if request_id[14] == str(number)]
        refused_runs = [each for each in runs if each in record.refused]
        record(f"house {number}: {len(runs)} runs {runs}, of requests that were refused: {refused_runs}")
        is_broken |= len(runs) > 1 or bool(refused_runs)
    return is_broken


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
