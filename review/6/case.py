"""Jobs of a queue with advice come at once. The owner asks the advisor more
questions than it can answer in time; see claim.txt."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path[:0] = [os.path.join(ROOT, "test", "soak", "standins"),
                os.path.join(ROOT, "review", "standins-2")]

import harness  # noqa: E402
from advised import AdvisedDeployment, advised_route  # noqa: E402

JOBS = 80
PREFIX = "/settle/"
# 80 jobs in 4 s are 20 a second; without the burst 2 a second.
SPAN_S = 4.0 if harness.TROUBLE else 40.0
FINISH_S = harness.BOUNDS["finish_s"]
LOOK_S = 18.0
IDLE_S = 3.0
CPU = 1000
TASK_MS = 500


def case():
    deployment = AdvisedDeployment(nodes=3, workers=9, decide_ms=250,
                                   period_ms=10)
    deployment.start(harness.configuration(7, [
        advised_route("r-settle", PREFIX, 250, 10, 10000)]))
    jobs = [f"5e771e{n:010x}" for n in range(1, JOBS + 1)]
    for job in jobs:
        deployment.submit(PREFIX, job, {"ms": TASK_MS}, [
            {"Count": 1, "Cpu": CPU, "MemMb": 200, "EstimateMs": TASK_MS}])
        time.sleep(SPAN_S / JOBS)
    deployment.note("client", "all jobs are accepted; no more traffic")
    time.sleep(FINISH_S)
    asked_at = time.monotonic()
    deployment.note("client", "asks for the jobs, finish_s after the traffic")
    time.sleep(LOOK_S)
    states = {job: deployment.state(PREFIX, job, n % 3)
              for n, job in enumerate(jobs)}
    until = time.monotonic()
    runs = deployment.worker_events("started")
    started = {run["task"].split(".")[0] for run in runs}
    # Runs since then, and their share of the service's 9 x 32 cores.
    late = [run for run in runs if run["at"] > asked_at]
    idle = [job for job in jobs
            if job not in started and states[job] in ("queued", "running")]
    used = CPU * TASK_MS / 1000 * len(late) / (until - asked_at)
    capacity = 9 * deployment.room["Cpu"]
    broken = (bool(idle) and until - asked_at >= IDLE_S
              and used < capacity / 2)
    questions = [row for row in deployment.record
                 if row["who"] == "advisor" and row["event"] == "answered"]
    unread = sum(1 for row in questions if not row["sent"]
                 or row["took_ms"] > 1840)
    return deployment, broken, (
        f"{len(idle)} of {JOBS} accepted jobs have had no start "
        f"{FINISH_S + LOOK_S:.0f} s after the last one was accepted, for "
        f"{until - asked_at:.0f} s with {used / capacity:.4f} of the service "
        f"in use on average; {len(questions)} questions answered, {unread} of "
        "them later than the owner waits")


harness.run_case(HERE, case)
