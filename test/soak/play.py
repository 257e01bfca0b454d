"""One play: a deployment, its clients, troubles, and the checks."""

import dataclasses
import json
import os
import re
import shutil
import time

import harness
from harness import configuration, route

from . import checks
from .clients import PREFIX, Clients
from .deployment import SoakDeployment
from .troubles import FIRST_VERSION, STORE, Troubles

# Fences of an owner begin with its term.
FENCES_PER_TERM = 1000000
SETUP_AND_END_S = 120


@dataclasses.dataclass
class Options:
    seed: int
    seconds: float = 40.0
    nodes: int = 5
    workers: int = 9
    kinds: tuple = ()
    settle_s: float = 45.0
    keep: str | None = None


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


def judge(deployment, jobs, kills):
    """Violations in what has happened so far, and the number of starts. Times
    are seconds since the deployment began."""
    began = deployment.began

    def relative(rows):
        return [since_began(began, row, ("at", "lease_ended_at"))
                for row in rows]
    now = time.monotonic() - began
    runs = checks.runs_of(relative(deployment.worker_events()),
                          [(at - began, host) for at, host in kills])
    violations = checks.check_all(
        runs, jobs_since_began(began, jobs), deployment.room,
        pauses_of(relative(deployment.record)),
        in_touch_by(deployment, elected(deployment)), now)
    violations += [checks.Violation("FAULT", now, end)
                   for end in aborts(deployment)]
    return violations, len(runs)


def play(options):
    """Plays one seed; returns the violations and the number of starts."""
    deployment = SoakDeployment(
        options.nodes, options.workers,
        limit_s=int(options.seconds + options.settle_s + SETUP_AND_END_S))
    try:
        for n, host in enumerate(deployment.hosts):
            deployment.clock_rates[host] = 1.0 - 0.02 * (n % 3) / 2
        deployment.start(configuration(FIRST_VERSION - 1,
                                       [route("r-settle", PREFIX)]))
        troubles = Troubles(deployment, options.seed, options.kinds)
        troubles.prepare()
        clients = Clients(deployment, options.seed)
        clients.begin()
        time.sleep(4)
        troubles.run(options.seconds)
        troubles.finish()
        clients.stop()
        clients.settle(options.settle_s)
        violations, starts = judge(deployment, clients.jobs, troubles.kills)
        if options.keep and violations:
            keep_record(deployment,
                        os.path.join(options.keep, f"seed-{options.seed}"),
                        violations)
        return violations, starts
    finally:
        deployment.close()
