"""A job is shown as failed after one of three attempts: its run failed while a
configuration without its route was in force."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True

from harness import (TROUBLE, Deployment, configuration, route,  # noqa: E402
                     run_case)

PREFIX = "/count/"
JOB = "76488369e55b5902"
ATTEMPTS = 3
WORK_MS = 3000
FAILS_AFTER_MS = 2500
REMOVED_AFTER_S = 0.5
ADDED_AFTER_S = 4.5
WATCH_S = 40


def case():
    kept = route("r-yard", "/yard/", 4, 2500)
    counted = route("r-count", PREFIX, ATTEMPTS)
    deployment = Deployment()
    deployment.start(configuration(7, [kept, counted]))
    spec = {"ms": WORK_MS, "fail_runs": [1], "fail_ms": FAILS_AFTER_MS}
    deployment.submit(PREFIX, JOB, spec, [
        {"Count": 1, "Cpu": 1800, "MemMb": 2500, "EstimateMs": WORK_MS}])
    accepted_at = time.monotonic()
    if TROUBLE:
        time.sleep(REMOVED_AFTER_S)
        deployment.configure(configuration(9, [kept]))
        time.sleep(ADDED_AFTER_S - REMOVED_AFTER_S)
        deployment.configure(configuration(12, [kept, counted]))
    state = None
    while (time.monotonic() < accepted_at + WATCH_S
           and state not in ("succeeded", "failed")):
        time.sleep(0.25)
        shown = deployment.state(PREFIX, JOB, node=1)
        state = shown if isinstance(shown, str) else state
    ends = deployment.worker_events("end")
    failed = [row for row in ends if row["how"] == "failed"]
    broken = state == "failed" and len(failed) < ATTEMPTS
    return deployment, broken, (
        f"the job is shown as {state}; runs that ended failed: {len(failed)} "
        f"of {ATTEMPTS} allowed; runs in all: {len(ends)}")


if __name__ == "__main__":
    run_case(FOLDER, case)
