"""The owner stops at the begin of an outage in which all leases lapse, and a
worker falls silent in it. Drawn from a seed."""

import collections
import dataclasses
import random
import signal
import threading
import time

from .platform import ENTRY_RETURN_S
from .troubles import STORE

SILENT_KINDS = ("cut", "lost", "paused", "none")
# A node that stays away is back after the play's calm span.
AWAY_AFTER_CALM_S = 2.0


@dataclasses.dataclass
class StoryOptions:
    """What is None is drawn from the seed."""
    silent: str | None = None
    # Leases lapse 4.1 s after the owner's last renewal; a planned stop of the
    # owner takes up to 2 s, so that some outlast a shorter outage than 7 s.
    outage_s: float | None = None
    # The owner is killed rather than stopped as planned.
    kill: bool | None = None
    # How long the owner's node stays away.
    away_s: float | None = None
    # How long the worker stays silent after the store's return.
    silence_s: float = 21.0
    calm_s: float = 15.0


def drawn(options, seed):
    """`options` with all values set."""
    rng = random.Random(f"story {seed}")
    silent = rng.choice(SILENT_KINDS)
    outage_s = rng.uniform(3, 8)
    kill = rng.random() < 0.5
    short_away_s = rng.uniform(0.2, 3)
    stays_away = rng.random() < 0.4
    result = dataclasses.replace(options)
    if result.silent is None:
        result.silent = silent
    if result.outage_s is None:
        result.outage_s = outage_s
    if result.kill is None:
        result.kill = kill
    if result.away_s is None:
        result.away_s = short_away_s if not stays_away else (
            result.outage_s + result.silence_s + result.calm_s
            + AWAY_AFTER_CALM_S)
    return result


class Story:
    """Carries the story out on a deployment. Times are monotonic seconds."""

    def __init__(self, deployment, troubles, options, seed):
        self.deployment = deployment
        self.troubles = troubles
        self.options = options
        self.rng = random.Random(f"times {seed}")
        self.threads = []
        self.host = None
        self.silence_over = None
        self.store_back_at = None
        self.calm_at = None

    def busiest_host(self, runs):
        """Host of the worker that has most of the running tasks."""
        hosts = collections.Counter(
            run.host for run in runs if run.ended is None)
        return max(hosts, key=lambda host: (hosts[host], host))

    def run(self, runs):
        """Returns when the store is back. `runs` are those of lasting tasks."""
        deployment, options = self.deployment, self.options
        self.host = self.busiest_host(runs)
        owner = self.troubles.owner(self.rng)
        over = deployment.disrupt(STORE)
        deployment.note("trouble", "story", owner=owner, host=self.host,
                        **dataclasses.asdict(options))
        deployment.platform.silence()
        silent_at = time.monotonic()
        self.after(self.rng.uniform(0.1, 1.0), self.stop_owner, owner)
        if options.silent != "none":
            self.after(self.rng.uniform(0.0, options.outage_s / 2),
                       self.fall_silent)
        time.sleep(max(0.0, silent_at + options.outage_s - time.monotonic()))
        returns = {deployment.worker_on(host):
                   self.rng.uniform(0, ENTRY_RETURN_S)
                   for host in deployment.hosts}
        deployment.platform.recover(False, returns)
        over()
        self.store_back_at = time.monotonic()
        deployment.note("trouble", "store back")

    def after(self, delay_s, action, *arguments):
        def act():
            time.sleep(delay_s)
            action(*arguments)
        thread = threading.Thread(target=act, daemon=True)
        self.threads.append(thread)
        thread.start()

    def stop_owner(self, owner):
        how = signal.SIGKILL if self.options.kill else signal.SIGTERM
        self.deployment.restart_node(owner, how, self.options.away_s)

    def fall_silent(self):
        deployment, host = self.deployment, self.host
        deployment.note("trouble", "worker " + self.options.silent, host=host)
        self.silence_over = deployment.disrupt(host)
        if self.options.silent == "lost":
            # The list of machines says that it is down.
            deployment.crash_worker(deployment.worker_on(host))
            self.troubles.kills.append((time.monotonic(), host))
        elif self.options.silent == "cut":
            deployment.proxies[host].cut(set(deployment.node_names))
        else:
            deployment.processes[host].send_signal(signal.SIGSTOP)
            deployment.note("trouble", "paused", name=host)

    def end_silence(self):
        """Waits until the silence is over; then nothing disturbs the rest."""
        deployment, host = self.deployment, self.host
        until = self.store_back_at
        if self.options.silent in ("cut", "paused"):
            until += self.options.silence_s
        time.sleep(max(0.0, until - time.monotonic()))
        if self.options.silent == "cut":
            deployment.proxies[host].heal(set(deployment.node_names))
        elif self.options.silent == "paused":
            deployment.processes[host].send_signal(signal.SIGCONT)
            deployment.note("trouble", "resumed", name=host)
        if self.options.silent != "none":
            self.silence_over()
        deployment.platform.await_heartbeats()
        self.calm_at = time.monotonic()

    def finish(self):
        for thread in self.threads:
            thread.join()

    def is_of_silent_worker(self, gap):
        """Whether the task's last run was on the worker that fell silent."""
        return (self.options.silent != "none" and gap.last is not None
                and gap.last.host == self.host)
