"""Clients of the soak. Each keeps its connection to a node until the node's
process is gone."""

import dataclasses
import http.client
import json
import random
import threading
import time

import harness

PREFIX = "/settle/"
CALL_TIMEOUT_S = 3.0
FINAL = ("succeeded", "failed", "cancelled")
# Pauses of a client between two calls, in seconds.
BUSY_PAUSE_S = (0.2, 1.6)
QUIET_PAUSE_S = (3.0, 6.0)
LASTING_MS = 60000
# So much that the tasks are spread over several workers.
LASTING_CPU = (2500, 5000)
SUBMIT_TRIES = 40
# Tasks that run on while their worker is cut off, and the share of the jobs
# that have them.
LONG_MS = 12000
LONG_SHARE = 0.2


@dataclasses.dataclass
class Job:
    """What a client sent, and was told."""
    id: str
    spec: dict
    steps: list
    accepted_at: float | None = None
    rejected: bool = False
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    state: object = None
    final_at: float | None = None
    polled_at: float = 0.0

    def lasts(self):
        return any(step.get("Daemon") for step in self.steps)


class Connection:
    """One client's connection to a node, opened again once it is gone."""

    def __init__(self, address):
        self.address = address
        self.connection = None

    def call(self, method, path, body=None):
        """Status and body of the answer; (None, {}) without one."""
        headers = {"Host": harness.HOST,
                   "Authorization": "Bearer " + harness.KEY,
                   "X-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000))}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            if self.connection is None:
                ip, port = self.address.split(":")
                self.connection = http.client.HTTPConnection(
                    ip, int(port), timeout=CALL_TIMEOUT_S)
            self.connection.request(
                method, path, None if body is None else json.dumps(body),
                headers)
            answer = self.connection.getresponse()
            raw = answer.read()
            return answer.status, json.loads(raw) if raw else {}
        except (OSError, http.client.HTTPException, ValueError):
            self.close()
            return None, {}

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def random_job(rng, seed):
    """A job whose work, shape and failures are drawn from `rng`."""
    ms = int(rng.uniform(300, 6000))
    count = rng.randint(1, 8)
    step = {"Count": count, "Cpu": rng.choice([400, 700, 1500]),
            "MemMb": 300, "EstimateMs": ms}
    spec = {"ms": ms}
    steps = [step]
    kind = rng.random()
    if kind < 0.15:
        spec = {"ms": 60000, "lasts": True}
        step.update({"Count": min(count, 3), "EstimateMs": 60000,
                     "Daemon": True})
    elif kind < 0.35:
        steps = [{**step, "Count": 2}, {**step, "Count": 2, "After": [0]}]
        spec["ms"] = ms // 3
    elif kind < 0.5:
        spec["fail_percent"] = rng.choice([10, 40, 100])
    elif kind < 0.7:
        spec["saves"] = True
        step["Checkpointable"] = True
    return Job(f"{seed & 0xffffff:06x}{rng.getrandbits(40):010x}", spec, steps)


def lengthen(job):
    """Makes the tasks of a job long, unless they last."""
    if job.lasts():
        return
    job.spec["ms"] = LONG_MS
    for step in job.steps:
        step["EstimateMs"] = LONG_MS


def lasting_job(rng, seed, number):
    """A job of several lasting tasks; some of these jobs have
    MaxUnavailable."""
    step = {"Count": rng.randint(2, 5), "Cpu": rng.choice(LASTING_CPU),
            "MemMb": 300, "EstimateMs": LASTING_MS, "Daemon": True}
    if rng.random() < 0.4:
        step["MaxUnavailable"] = rng.randint(1, step["Count"])
    return Job(f"f{seed & 0xffffff:06x}{number:09x}",
               {"ms": LASTING_MS, "lasts": True}, [step])


class Clients:
    """Hands jobs in, looks at them and cancels some until stop()."""

    def __init__(self, deployment, seed, threads=6, long_share=0.0):
        self.deployment = deployment
        self.seed = seed
        self.long_share = long_share
        self.lock = threading.Lock()
        self.jobs = {}
        self.lasting = []
        self.pause_s = BUSY_PAUSE_S
        self.over = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,),
                                         daemon=True) for n in range(threads)]

    def begin(self):
        for thread in self.threads:
            thread.start()

    def ease(self):
        """From now on few jobs are handed in."""
        self.pause_s = QUIET_PAUSE_S

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()

    def connections(self):
        net = self.deployment.net
        return [Connection(f"{net}.1.{n + 1}:8340")
                for n in range(len(self.deployment.node_names))]

    def run(self, number):
        rng = random.Random(self.seed * 100 + number)
        long_rng = random.Random(f"long {self.seed} {number}")
        connections = self.connections()
        mine = []
        while not self.over.is_set():
            home = rng.randrange(len(connections))
            if rng.random() < 0.6 or not mine:
                job = random_job(rng, self.seed)
                if long_rng.random() < self.long_share:
                    lengthen(job)
                with self.lock:
                    self.jobs[job.id] = job
                self.submit(connections, home, job)
                mine.append(job)
            else:
                job = rng.choice(mine)
                if (rng.random() < 0.3 and job.accepted_at is not None
                        and job.final_at is None):
                    self.cancel(connections, home, job)
                else:
                    self.look(connections[home], job)
            self.over.wait(rng.uniform(*self.pause_s))

    def add_lasting(self, count):
        """Hands in jobs that last and are not cancelled before settle()."""
        rng = random.Random(f"lasting {self.seed} {len(self.lasting)}")
        connections = self.connections()
        for _ in range(count):
            job = lasting_job(rng, self.seed, len(self.lasting))
            self.lasting.append(job)
            with self.lock:
                self.jobs[job.id] = job
            self.submit(connections, rng.randrange(len(connections)), job,
                        SUBMIT_TRIES)
        for connection in connections:
            connection.close()

    def submit(self, connections, home, job, tries=8):
        """The same id arrives at the next node after no answer."""
        body = {"Spec": json.dumps(job.spec), "Steps": job.steps}
        statuses = []
        for n in range(tries):
            connection = connections[(home + n) % len(connections)]
            status, _ = connection.call("POST", PREFIX + job.id, body)
            statuses.append(status)
            if status is not None and 200 <= status < 300:
                job.accepted_at = time.monotonic()
                return
            if status in (429, 503) and self.over.wait(0.3):
                break
        job.rejected = all(status in (429, 503) for status in statuses)

    def cancel(self, connections, home, job, tries=6):
        if job.cancel_sent_at is None:
            job.cancel_sent_at = time.monotonic()
        for n in range(tries):
            connection = connections[(home + n) % len(connections)]
            status, _ = connection.call("DELETE", PREFIX + job.id)
            if status is not None and (200 <= status < 300 or status == 410):
                job.cancelled_at = time.monotonic()
                return
            time.sleep(0.2)

    def look(self, connection, job):
        asked_at = time.monotonic()
        status, body = connection.call("GET", PREFIX + job.id)
        if status is None or job.final_at is not None or (
                asked_at < job.polled_at):
            return
        if status == 200 or (status == 410 and job.accepted_at is not None):
            job.polled_at = asked_at
            job.state = body.get("State") if status == 200 else status
            if job.state in FINAL:
                job.final_at = time.monotonic()

    def settle(self, limit_s):
        """Cancels what lasts and waits for the ends of all jobs."""
        connections = self.connections()
        until = time.monotonic() + limit_s
        accepted = [job for job in self.jobs.values() if job.accepted_at]
        turn = 0
        while time.monotonic() < until:
            left = [job for job in accepted if job.final_at is None
                    and not (job.cancel_sent_at and job.state == 410)]
            if not left:
                break
            for job in left:
                turn += 1
                if job.lasts() and job.cancelled_at is None:
                    self.cancel(connections, turn, job, tries=1)
                self.look(connections[turn % len(connections)], job)
            time.sleep(0.3)
        for connection in connections:
            connection.close()

    def unanswered(self, limit_s):
        """Asks for every job that was accepted and not cancelled, at one node
        after the other; returns those of which no node told a state within
        `limit_s`, with the last statuses."""
        connections = self.connections()
        until = time.monotonic() + limit_s
        left = {job.id: [] for job in self.jobs.values()
                if job.accepted_at is not None and job.cancel_sent_at is None}
        turn = 0
        while left and time.monotonic() < until:
            for name in list(left):
                turn += 1
                status, body = connections[turn % len(connections)].call(
                    "GET", PREFIX + name)
                left[name] = (left[name] + [status])[-6:]
                if status == 200 and "State" in body:
                    del left[name]
        for connection in connections:
            connection.close()
        return left

    def refusing_nodes(self, limit_s):
        """Numbers of the nodes that do not tell the state of a job that has one
        within `limit_s`, with the last status of each."""
        names = [job.id for job in self.jobs.values()
                 if job.accepted_at is not None and job.cancel_sent_at is None]
        if not names:
            return {}
        left = dict(enumerate(self.connections()))
        statuses = {}
        until = time.monotonic() + limit_s
        while left and time.monotonic() < until:
            for n, connection in list(left.items()):
                statuses[n], _ = connection.call("GET", PREFIX + names[-1])
                if statuses[n] == 200:
                    connection.close()
                    del left[n]
            time.sleep(0.1)
        return {n: statuses[n] for n in left}
