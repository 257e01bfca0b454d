"""A task runs on two workers at once: a worker that started again under its id
holds a longer lease than the next owner waits for."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True

from harness import (TROUBLE, Deployment, configuration, route,  # noqa: E402
                     run_case)

PREFIX = "/settle/"
LARGE_JOB = "aaaaaaaaaaaaaa00"
CUT_HOST = "m-01"
WORK_MS = 9000
CUT_S = 5.5
# Within the first HeartbeatMs (1.5 s) of its new life.
FIRST_BEAT_S = 0.5
JOBS = 14
WATCH_S = 14


def runs(deployment):
    """Rows of task, worker, begin and end of each run."""
    open_runs, rows = {}, []
    for row in deployment.worker_events():
        worker = row["who"]
        if row["event"] == "up":
            # The life before has ended with all that it ran.
            for key in [key for key in open_runs if key[0] == worker]:
                rows.append((key[1], worker, open_runs.pop(key), row["at"]))
        elif row["event"] == "started":
            open_runs[worker, row["task"]] = row["at"]
        elif row["event"] == "end":
            begin = open_runs.pop((worker, row["task"]), None)
            if begin is not None:
                rows.append((row["task"], worker, begin, row["at"]))
    for (worker, task), begin in open_runs.items():
        rows.append((task, worker, begin, time.monotonic()))
    return rows


def case():
    deployment = Deployment(
        labels=lambda n: ["ssd" if n < 2 else "a", f"r1-{n // 4}"])
    deployment.put_behind_proxy(CUT_HOST)
    deployment.start(configuration(7, [route("r-settle", PREFIX)]))
    deployment.start_worker(CUT_HOST, standby=True, first_beat_s=FIRST_BEAT_S)
    # The fuller worker is taken first.
    deployment.submit(PREFIX, LARGE_JOB, {"ms": 60000}, [
        {"Count": 1, "Cpu": 8000, "MemMb": 5500, "EstimateMs": 60000,
         "Requires": "ssd"}])
    time.sleep(3)
    owner = deployment.owner()
    if TROUBLE:
        deployment.restart_at_once(CUT_HOST)
    for n in range(JOBS):
        job = f"5c0e7a21d94b36{n:02x}"
        threading.Thread(target=deployment.submit, daemon=True, args=(
            PREFIX, job, {"ms": WORK_MS},
            [{"Count": 1, "Cpu": 500, "MemMb": 100, "EstimateMs": WORK_MS,
              "Requires": "ssd"}])).start()
        time.sleep(0.02)
    time.sleep(0.4)
    if TROUBLE:
        deployment.cut_worker(CUT_HOST)
        healing = threading.Timer(CUT_S, deployment.heal_worker, (CUT_HOST,))
        healing.daemon = True
        healing.start()
        deployment.stop_node(owner)
    time.sleep(WATCH_S)
    rows = runs(deployment)
    overlaps = []
    for i, (task, worker, begin, end) in enumerate(rows):
        for other, elsewhere, begun, ended in rows[i + 1:]:
            shared = min(end, ended) - max(begin, begun)
            if task == other and worker != elsewhere and shared > 0:
                overlaps.append((task, round(shared, 2)))
    return deployment, bool(overlaps), (
        f"tasks that ran on two workers at once: {len(overlaps)}, for how "
        f"long (s): {[shared for _, shared in overlaps][:10]}")


if __name__ == "__main__":
    run_case(FOLDER, case)
