"""Faults that brought work to run twice, and a short seeded soak: nodes,
workers and platform as processes. Long runs: python3 -m soak --help."""

import threading
import time
import unittest

from soak.clients import PREFIX, Clients, Job
from soak.deployment import SoakDeployment
from soak.play import Options, judge, play
from soak.story import StoryOptions

import harness  # found by way of soak

# A lease on the slowest clock that workers may have lasts longest.
SLOWEST_CLOCK = 0.98
PARTITION_S = 11.0
SETTLE_S = 60.0


def first_of(violations):
    return [str(violation) for violation in violations[:8]]


class FaultTest(unittest.TestCase):
    """Five nodes, and six workers with the slowest clocks."""

    def setUp(self):
        self.deployment = SoakDeployment(5, 6, limit_s=240)
        self.addCleanup(self.deployment.close)
        for host in self.deployment.hosts:
            self.deployment.clock_rates[host] = SLOWEST_CLOCK
        self.deployment.start(harness.configuration(
            7, [harness.route("r-settle", PREFIX)]))
        self.jobs = {}

    def submit(self, count, ms):
        """Hands in a job of `count` tasks that last `ms`."""
        job = Job(f"{0xabc0000 + len(self.jobs):016x}", {"ms": ms},
                  [{"Count": count, "Cpu": 900, "MemMb": 300,
                    "EstimateMs": ms}])
        self.jobs[job.id] = job
        self.deployment.submit(PREFIX, job.id, job.spec, job.steps)
        job.accepted_at = time.monotonic()

    def busy_hosts(self):
        """Hosts of the workers that tasks have been started on."""
        def started():
            return self.deployment.worker_events("started")
        tasks = sum(job.steps[0]["Count"] for job in self.jobs.values())
        self.deployment.wait_until(lambda: len(started()) >= tasks, 20,
                                   "the tasks do not start")
        return sorted({self.deployment.host_of(row["who"].split()[1])
                       for row in started()})

    def assert_rules_hold(self):
        """Waits for the ends of all jobs, and checks all rules."""
        clients = Clients(self.deployment, seed=0, threads=0)
        clients.jobs = self.jobs
        clients.settle(SETTLE_S)
        violations, _ = judge(self.deployment, self.jobs, kills=[])
        self.assertEqual(first_of(violations), [],
                         f"{len(violations)} violations")


class LapsedEntryTest(FaultTest):
    def test_a_worker_that_only_the_stopped_owner_reached_runs_on(self):
        # Ends that follow each other closely keep the owner polling, so that
        # the worker's lease is fresh when the owner stops.
        for n in range(16):
            self.submit(1, 7000 + 250 * n)
        self.submit(16, 25000)
        host = self.busy_hosts()[0]
        worker = self.deployment.worker_on(host)
        self.deployment.platform.mute(worker, 16)
        self.deployment.wait_until(
            lambda: self.deployment.platform.store.get(
                "servers/" + worker)[0] == 404, 10, "the entry does not lapse")
        owner = self.deployment.owner()
        others = [name for n, name in enumerate(self.deployment.node_names)
                  if n != owner]
        link = self.deployment.proxies[host]
        link.cut(others)
        time.sleep(1)
        stop = threading.Thread(target=self.deployment.stop_node,
                                args=(owner,))
        stop.start()
        time.sleep(6)
        link.heal(others)
        stop.join()
        self.assert_rules_hold()


class PartitionTest(FaultTest):
    def partition(self, hosts):
        """The owner and `hosts` are on their own for a while."""
        heal = self.deployment.partition([self.deployment.owner()], hosts)
        time.sleep(PARTITION_S)
        heal()


class OwnerCutOffWithWorkersTest(PartitionTest):
    def test_the_next_owner_does_not_take_these_workers_for_gone(self):
        for _ in range(3):
            self.submit(12, 20000)
        self.partition(self.busy_hosts()[:2])
        self.assert_rules_hold()


class OwnerInDoubtTest(PartitionTest):
    def partition_with_idle_workers(self, ms):
        """Tasks that last `ms` run on workers that the owner is cut off from."""
        for _ in range(3):
            self.submit(12, ms)
        busy = self.busy_hosts()
        idle = [host for host in self.deployment.hosts if host not in busy]
        self.assertTrue(idle)
        self.partition(idle[:2])

    def test_it_does_not_restart_runs_whose_leases_its_successor_renews(self):
        self.partition_with_idle_workers(20000)
        self.assert_rules_hold()

    def test_it_does_not_restart_runs_that_its_successor_has_seen_end(self):
        self.partition_with_idle_workers(3000)
        self.assert_rules_hold()


class SoakTest(unittest.TestCase):
    def test_rules_hold_under_random_troubles(self):
        result = play(Options(seed=37, seconds=40))
        self.assertEqual(first_of(result.violations), [],
                         f"{len(result.violations)} violations")
        self.assertGreater(result.starts, 0)


class EvacuationSoakTest(unittest.TestCase):
    """Guards against starts in evacuated zones, and against rules that an
    evacuation breaks, beside all other troubles."""

    def test_rules_hold_while_the_operator_evacuates_zones(self):
        result = play(Options(seed=42, seconds=40, evacuate=True))
        self.assertEqual(first_of(result.violations), [],
                         f"{len(result.violations)} violations")
        self.assertGreater(result.starts, 0)


class LastingTasksTest(unittest.TestCase):
    def test_a_lasting_task_runs_again_after_the_owner_stops_in_an_outage(self):
        result = play(Options(seed=40, story=StoryOptions(
            silent="cut", outage_s=7, kill=False, away_s=1, silence_s=3)))
        self.assertEqual(first_of(result.violations), [], result.waits)


class SilentWorkerTest(unittest.TestCase):
    def test_a_silent_worker_does_not_hold_tasks_of_others_after_an_outage(
            self):
        result = play(Options(seed=41, story=StoryOptions(
            silent="cut", outage_s=7, kill=False, away_s=16, silence_s=11,
            calm_s=0)))
        self.assertEqual(first_of(result.violations), [], result.waits)
        self.assertEqual(first_of(result.waits.held), [], result.waits)


if __name__ == "__main__":
    unittest.main()
