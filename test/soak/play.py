"""One play: a deployment, its clients, troubles, and the checks."""

import dataclasses
import json
import os
import re
import shutil
import signal
import threading
import time

import harness
from harness import configuration, route

from . import checks
from .clients import LONG_SHARE, PREFIX, Clients
from .deployment import SoakDeployment
from .evacuations import Evacuations
from .platform import ENTRY_RETURN_S
from .story import Story, StoryOptions, drawn
from .troubles import FIRST_VERSION, STORE, Troubles

# Fences of an owner begin with its term.
FENCES_PER_TERM = 1000000
SETUP_AND_END_S = 120
# Clients beside a story, and lasting jobs of a play.
STORY_CLIENTS = 2
LASTING_JOBS = 6
LATE_LASTING_JOBS = 2
START_S = 4.0
# Time in which every accepted job has to be told of after all nodes were killed
# at once, and the time that they are away.
ANSWER_S = 14.0
AWAY_S = 1.0


@dataclasses.dataclass
class Options:
    seed: int
    seconds: float = 40.0
    nodes: int = 5
    workers: int = 9
    kinds: tuple = ()
    settle_s: float = 45.0
    # Span without trouble in which lasting tasks have to run.
    calm_s: float = 15.0
    # Played in place of random troubles.
    story: StoryOptions | None = None
    # The operator evacuates zones during the troubles.
    evacuate: bool = False
    keep: str | None = None


@dataclasses.dataclass
class Waits:
    """How long lasting tasks had no run; times in seconds."""
    calm_s: float
    # Since the store's return in a story, by the worker of their last run.
    others_s: float | None = None
    silent_s: float | None = None
    # Tasks of other workers that waited longer than the rule allows in calm
    # while one worker stayed silent.
    held: list = dataclasses.field(default_factory=list)

    def __str__(self):
        text = f"longest wait in calm {self.calm_s:.1f} s"
        if self.others_s is not None:
            text += (f", since the store's return {self.others_s:.1f} s "
                     f"({self.silent_s:.1f} s of the silent worker's tasks), "
                     f"{len(self.held)} held by the silent worker")
        return text


@dataclasses.dataclass
class Result:
    violations: list
    starts: int
    waits: Waits


def elected(deployment):
    """Node of each term, from the nodes' logs."""
    terms = {}
    for name in deployment.node_names:
        path = os.path.join(deployment.folder, name + ".log")
        with open(path, encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if '"event":"elected"' in line:
                    match = re.search(r'"term":(\d+)', line)
                    if match:
                        terms[int(match.group(1))] = name
    return terms


def aborts(deployment):
    """Processes of nodes that ended by themselves."""
    return [f"{name}: {process.returncode}"
            for name, process in deployment.processes.items()
            if name in deployment.node_names
            and process.poll() is not None and process.returncode != 0]


def in_touch_by(deployment, terms):
    """Whether the node that sent a run's start was in touch, and the start was
    not held up on its way."""
    def in_touch(run):
        node = terms.get(run.fence // FENCES_PER_TERM)
        return node is not None and all(
            deployment.is_calm(name, deployment.began + run.began,
                               checks.STABLE_WINDOW_S)
            for name in (node, STORE, run.host))
    return in_touch


def pauses_of(rows):
    """Spans in which the workers' processes were paused, by host."""
    pauses, since = {}, {}
    for row in rows:
        if row["event"] == "paused":
            since[row["name"]] = row["at"]
        elif row["event"] == "resumed":
            pauses.setdefault(row["name"], []).append(
                (since.pop(row["name"]), row["at"]))
    return pauses


def since_began(began, row, names):
    """`row` with the times under `names` counted from `began`."""
    return {key: value - began if key in names and value is not None
            else value for key, value in row.items()}


def jobs_since_began(began, jobs):
    names = ("accepted_at", "cancel_sent_at", "cancelled_at", "final_at")
    return {name: dataclasses.replace(
        job, **since_began(began, {key: getattr(job, key) for key in names},
                           names)) for name, job in jobs.items()}


def keep_record(deployment, folder, violations):
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(deployment.folder, folder)
    deployment.write_record(
        os.path.join(folder, "record.txt"),
        json.dumps([str(violation) for violation in violations[:50]]))


def runs_so_far(deployment, kills):
    """Runs in the workers' records. Times are seconds since the deployment
    began."""
    began = deployment.began
    rows = [since_began(began, row, ("at", "lease_ended_at"))
            for row in deployment.worker_events()]
    return checks.runs_of(rows, [(at - began, host) for at, host in kills])


def judge(deployment, jobs, kills, calm=(), evacuations=()):
    """Violations in what has happened so far, and the number of starts. Times
    are seconds since the deployment began; `calm` and `evacuations` are
    monotonic spans."""
    began = deployment.began
    now = time.monotonic() - began
    runs = runs_so_far(deployment, kills)
    violations = checks.check_all(
        runs, jobs_since_began(began, jobs), deployment.room,
        pauses_of([since_began(began, row, ("at",))
                   for row in deployment.record]),
        in_touch_by(deployment, elected(deployment)), now,
        [(since - began, until - began) for since, until in calm],
        (deployment.zone_of,
         [(zone, acknowledged_at - began,
           None if removed_at is None else removed_at - began)
          for zone, acknowledged_at, removed_at in evacuations]))
    violations += [checks.Violation("FAULT", now, end)
                   for end in aborts(deployment)]
    return violations, len(runs)


def gaps_so_far(deployment, clients, kills):
    began = deployment.began
    return checks.lasting_gaps(
        runs_so_far(deployment, kills), jobs_since_began(began, clients.jobs),
        time.monotonic() - began)


def lasting_runs(deployment, clients, kills):
    """Runs of the tasks that are not cancelled."""
    names = {job.id for job in clients.lasting}
    return [run for run in runs_so_far(deployment, kills)
            if run.task.split(".", 1)[0] in names]


def play_troubles(options, deployment, troubles, clients, evacuations):
    """Returns the begin of the calm."""
    late = threading.Timer(options.seconds / 2, clients.add_lasting,
                           [LATE_LASTING_JOBS])
    late.start()
    troubles.run(options.seconds)
    clients.ease()
    late.join()
    troubles.finish()
    if options.evacuate:
        evacuations.stop()
    return time.monotonic()


def story_waits(gaps, story, began, until):
    """Waits beside the silent worker, until the end of the calm."""
    back, calm_at = story.store_back_at - began, story.calm_at - began
    own = [gap for gap in gaps if story.is_of_silent_worker(gap)]
    others = [gap for gap in gaps if not story.is_of_silent_worker(gap)]
    return {
        "others_s": checks.longest_gap(others, back, until - began),
        "silent_s": checks.longest_gap(own, back, until - began),
        "held": list(checks.check_lasting(
            others, [(back + ENTRY_RETURN_S, calm_at)]))}


def ask_after_a_loss_of_power(deployment, clients):
    """Kills all nodes at once. Violations for accepted jobs of which no node
    tells a state afterwards, within the time that callers ask for it, and for
    nodes that tell none."""
    for n in range(len(deployment.node_names)):
        deployment.signal_node(n, signal.SIGKILL)
    for name in deployment.node_names:
        deployment.processes[name].wait()
    time.sleep(AWAY_S)
    for n in range(len(deployment.node_names)):
        deployment.start_node(n)
    left = clients.unanswered(ANSWER_S)
    refusing = clients.refusing_nodes(ANSWER_S)
    now = time.monotonic() - deployment.began
    return ([checks.Violation("LOST", now,
                              f"no answer about {name}: {statuses}")
             for name, statuses in left.items()]
            + [checks.Violation("LOST", now, f"node {n} tells no state: {status}")
               for n, status in refusing.items()])


def play(options):
    """Plays one seed."""
    story_options = options.story and drawn(options.story, options.seed)
    calm_s = story_options.calm_s if options.story else options.calm_s
    trouble_s = options.seconds
    if options.story:
        trouble_s = (story_options.outage_s + story_options.silence_s
                     + story_options.away_s)
    deployment = SoakDeployment(
        options.nodes, options.workers,
        limit_s=int(trouble_s + calm_s + options.settle_s + SETUP_AND_END_S),
        **({"contracts": ["places"],
            "bounds": {**harness.BOUNDS,
                       "EvacuateMs": int(checks.EVACUATE_S * 1000)}}
           if options.evacuate else {}))
    try:
        for n, host in enumerate(deployment.hosts):
            deployment.clock_rates[host] = 1.0 - 0.02 * (n % 3) / 2
        deployment.start(configuration(FIRST_VERSION - 1,
                                       [route("r-settle", PREFIX)]))
        troubles = Troubles(deployment, options.seed, options.kinds)
        clients = Clients(deployment, options.seed,
                          **({"threads": STORY_CLIENTS} if story_options
                             else {"long_share": LONG_SHARE}))
        clients.add_lasting(LASTING_JOBS)
        story = None
        if story_options:
            story = Story(deployment, troubles, story_options, options.seed)
        else:
            troubles.prepare()
        clients.begin()
        evacuations = Evacuations(deployment, options.seed)
        if options.evacuate:
            evacuations.begin()
        time.sleep(START_S)
        if story:
            clients.ease()
            story.run(lasting_runs(deployment, clients, troubles.kills))
            story.end_silence()
            calm_at = story.calm_at
        else:
            calm_at = play_troubles(options, deployment, troubles, clients,
                                    evacuations)
        time.sleep(calm_s)
        calm_until = time.monotonic()
        clients.stop()
        if story:
            story.finish()
        clients.settle(options.settle_s)
        violations, starts = judge(deployment, clients.jobs, troubles.kills,
                                   [(calm_at, calm_until)],
                                   evacuations.spans)
        violations += ask_after_a_loss_of_power(deployment, clients)
        gaps = gaps_so_far(deployment, clients, troubles.kills)
        waits = Waits(checks.longest_gap(gaps, calm_at - deployment.began,
                                         calm_until - deployment.began))
        if story:
            waits = dataclasses.replace(waits, **story_waits(
                gaps, story, deployment.began, calm_until))
        if options.keep and (violations or waits.held):
            keep_record(deployment,
                        os.path.join(options.keep, f"seed-{options.seed}"),
                        violations + waits.held)
        return Result(violations, starts, waits)
    finally:
        deployment.close()
