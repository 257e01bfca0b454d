"""Guards against starts in a zone whose evacuation the store has acknowledged,
counted at the workers, and against work that an evacuation loses: nodes and
workers as processes, three zones."""

import time
import unittest

from soak.evacuations import Evacuations

import harness  # found by way of soak

PREFIX = "/r/"
EVACUATE_MS = 5000
BOUND_S = EVACUATE_MS / 1000
# Four tasks fill a worker, so that each zone always has some.
TASK = {"Cpu": 8000, "MemMb": 300, "EstimateMs": 700}
TASK_MS = 700
JOBS = 24
TASKS_OF_JOB = 30


class EvacuationProcessTest(unittest.TestCase):
    def setUp(self):
        self.deployment = harness.Deployment(
            nodes=3, workers=6, limit_s=240, contracts=["places"],
            bounds={**harness.BOUNDS, "EvacuateMs": EVACUATE_MS})
        self.addCleanup(self.deployment.close)
        self.deployment.start(harness.configuration(
            7, [harness.route("r-settle", PREFIX)]))
        self.operator = Evacuations(self.deployment, seed=0)
        self.jobs = []

    def submit(self, spec, step):
        job = f"{0xeac0000 + len(self.jobs):016x}"
        self.jobs.append(job)
        self.deployment.submit(PREFIX, job, spec, [step])
        return job

    def starts(self, zone, since=0.0):
        """Starts on the zone's workers after `since`."""
        return [row for row in self.deployment.worker_events("started")
                if row["at"] > since and self.zone_of(row) == zone]

    def zone_of(self, row):
        return self.deployment.zone_of(
            self.deployment.host_of(row["who"].split()[1]))

    def running(self, job):
        """Zones in which tasks of the job run now."""
        zones = {}
        for row in self.deployment.worker_events():
            if not row.get("task", "").startswith(job):
                continue
            if row["event"] == "started":
                zones[row["task"]] = self.zone_of(row)
            elif row["event"] == "end":
                zones.pop(row["task"], None)
        return sorted(zones.values())

    def test_nothing_starts_there_until_the_request_is_cancelled(self):
        for _ in range(JOBS):
            self.submit({"ms": TASK_MS}, {**TASK, "Count": TASKS_OF_JOB})
        wait = self.deployment.wait_until
        wait(lambda: self.starts("zone-1"), 30, "nothing starts in the zone")
        span = self.operator.evacuate("zone-1")
        # The next owner has to know of it too.
        self.deployment.stop_node(self.deployment.owner())
        closed_at = span[1] + BOUND_S
        wait(lambda: time.monotonic() > closed_at, 30, "")
        wait(lambda: len(self.starts("zone-2", closed_at)
                         + self.starts("zone-3", closed_at)) >= 40, 60,
             "work does not go on in the other zones")
        self.operator.cancel(span)
        late = [row for row in self.starts("zone-1", closed_at)
                if row["at"] < span[2]]
        self.assertEqual(late, [])
        wait(lambda: self.starts("zone-1", span[2]), 60,
             "the zone is not used again")
        for job in self.jobs:
            wait(lambda: self.deployment.state(PREFIX, job, self.live_node())
                 == "succeeded", 90, f"job {job} is not done")

    def live_node(self):
        return next(n for n, name in enumerate(self.deployment.node_names)
                    if self.deployment.processes[name].poll() is None)

    def test_lasting_tasks_move_to_other_zones(self):
        job = self.submit({"ms": 60000, "lasts": True},
                          {**TASK, "Count": 4, "EstimateMs": 60000,
                           "Daemon": True, "MaxUnavailable": 1})
        wait = self.deployment.wait_until
        wait(lambda: len(self.running(job)) == 4, 30, "the tasks do not run")
        zone = self.running(job)[0]
        span = self.operator.evacuate(zone)
        wait(lambda: len(self.running(job)) == 4
             and zone not in self.running(job), 60, "the tasks do not move")
        there = [row for row in self.starts(zone, span[1] + BOUND_S)]
        self.assertEqual(there, [])
        starts = len(self.deployment.worker_events("started"))
        self.operator.cancel(span)
        # Nothing moves back; what is stopped would have started again by then.
        wait(lambda: time.monotonic() > span[2] + 3, 30, "")
        self.assertEqual(len(self.deployment.worker_events("started")), starts)


if __name__ == "__main__":
    unittest.main()
