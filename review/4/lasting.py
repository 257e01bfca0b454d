"""A task that lasts is never started again after four of its workers have
crashed, although its job goes on and workers are free."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True

from harness import (TROUBLE, Deployment, configuration, route,  # noqa: E402
                     run_case)

PREFIX = "/yard/"
JOB = "7bb749333f030d54"
TASK = JOB + ".0.0.0"
CRASHES = 4
DOWN_S = 4.5
CRASH_AFTER_S = 2.0
CRASHES_WITHIN_S = 70
CALM_S = 25
# LOST: from 6 s after the task's last run, for 3 s.
WITHOUT_RUN_S = 6 + 3


def case():
    deployment = Deployment()
    deployment.start(configuration(7, [route("r-yard", PREFIX, 4, 2500)]))
    deployment.submit(PREFIX, JOB, {"lasts": True}, [
        {"Count": 3, "Cpu": 2700, "MemMb": 8700, "Daemon": True,
         "MaxPerServer": 1, "MaxUnavailable": 1}])
    crashed = set()
    until = time.monotonic() + CRASHES_WITHIN_S
    while time.monotonic() < until and len(crashed) < CRASHES:
        time.sleep(0.1)
        if not TROUBLE:
            break
        for row in deployment.worker_events("started"):
            worker = row["who"].split()[1]
            age = time.monotonic() - row["at"]
            if (row["task"] == TASK and worker not in crashed
                    and age >= CRASH_AFTER_S):
                crashed.add(worker)
                host = deployment.crash_worker(worker)
                deployment.restart_worker_later(host, DOWN_S)
    last_crash = time.monotonic()
    time.sleep(DOWN_S + CALM_S)
    state = deployment.state(PREFIX, JOB, node=1)
    now = time.monotonic()
    starts = [row["at"] for row in deployment.worker_events("started")
              if row["task"] == TASK]
    running_since = [at for at in starts if at > last_crash]
    away_s = 0.0
    if TROUBLE and not running_since:
        away_s = now - last_crash
    broken = state in ("queued", "running") and away_s > WITHOUT_RUN_S
    return deployment, broken, (
        f"the job is shown as {state}; its first task was started "
        f"{len(starts)} times; workers that crashed under it: {len(crashed)}; "
        f"it has had no run for the last {away_s:.1f} s, at least "
        f"{CALM_S} s of them calm")


if __name__ == "__main__":
    run_case(FOLDER, case, 'record-lasting.txt')
