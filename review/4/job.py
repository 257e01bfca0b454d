"""A job whose workers crash under it twice is shown as failed although none of
its runs has ended `failed`."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True

from harness import (TROUBLE, Deployment, configuration, route,  # noqa: E402
                     run_case)

PREFIX = "/settle/"
JOB = "5c0e7a21d94b36f8"
ATTEMPTS = 3
WORK_MS = 4000
CRASHES = 4
DOWN_S = 4.5
CRASH_AFTER_S = 1.0
WATCH_S = 75


def case():
    deployment = Deployment()
    deployment.start(configuration(7, [route("r-settle", PREFIX, ATTEMPTS)]))
    deployment.submit(PREFIX, JOB, {"ms": WORK_MS}, [
        {"Count": 1, "Cpu": 3800, "MemMb": 5500, "EstimateMs": WORK_MS}])
    crashed = set()
    state = None
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until and state not in ("succeeded", "failed"):
        time.sleep(0.1)
        if TROUBLE and len(crashed) < CRASHES:
            for row in deployment.worker_events("started"):
                worker = row["who"].split()[1]
                age = time.monotonic() - row["at"]
                if worker not in crashed and age >= CRASH_AFTER_S:
                    crashed.add(worker)
                    host = deployment.crash_worker(worker)
                    deployment.restart_worker_later(host, DOWN_S)
        shown = deployment.state(PREFIX, JOB, node=len(crashed) % 3)
        state = shown if isinstance(shown, str) else state
    failed = [row for row in deployment.worker_events("end")
              if row["how"] == "failed"]
    broken = state == "failed" and len(failed) < ATTEMPTS
    return deployment, broken, (
        f"the job is shown as {state}; runs that ended failed: {len(failed)} "
        f"of {ATTEMPTS} allowed; workers that crashed under it: "
        f"{len(crashed)}")


if __name__ == "__main__":
    run_case(FOLDER, case, 'record-job.txt')
