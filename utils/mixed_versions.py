"""Replaces the entries of one deployment by those of another build, one by one
under load, and back; checks the promises each time.

  mixed_versions.py OLD_BUILD NEW_BUILD

The platform's stand-in and its records stay, so that each build runs on what
the other one stored and beside its processes. Exit code 1 for a broken promise
or an entry that stopped with a code other than 0.
"""

import sys
import time

import cluster
import promises

LOAD_MILLIS = 25000


class MixedCluster(cluster.Cluster):
    """A deployment whose entries may come from several builds."""

    def __init__(self, build, entries):
        super().__init__("monterrey", build, entries=entries)
        self.base_build = build
        self.builds = {}

    def start_entry(self, info):
        self.build = self.builds.get(info["instance"], self.base_build)
        super().start_entry(info)
        self.build = self.base_build

    def replace(self, info, build):
        """Stops an entry and starts it from `build`; returns its exit code."""
        code = self.entries[info["instance"]].stop()
        self.builds[info["instance"]] = build
        self.start_entry(info)
        self.wait_ready([info])
        return code


def load_parts(keys):
    """Callers of an idempotent and a non-idempotent queue."""
    common = {"callers": 2, "workMillis": 10, "pauseMillis": 5}
    return [
        {"queue": "gate-counts", "team": "returns-docks",
         "key": keys["returns-docks"], "idempotent": True, **common},
        {"queue": "settlements", "team": "settlement-desk",
         "key": keys["settlement-desk"], "idempotent": False,
         "repeatEvery": 5, **common},
    ]


def check(deployment, title, records, codes):
    """Prints a line and returns the number of faults."""
    broken = promises.check(
        records, deployment.worker_records(), deployment.teams())
    lost = [r for r in records if r["outcome"] in ("cut", "unknown")]
    print(f"{title}: {len(records)} submissions, {len(broken)} broken "
          f"promises, {len(lost)} cut or unknown, exit codes {codes}",
          flush=True)
    for row in broken[:5] + lost[:5]:
        print("  ", row, flush=True)
    return len(broken) + sum(code != 0 for code in codes)


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    old, new = sys.argv[1:]
    deployment = MixedCluster(old, entries=5)
    faults = 0
    try:
        deployment.start()
        deployment.publish_and_give_keys()
        for title, build, seed in (("old replaced by new", new, 13),
                                   ("new replaced by old", old, 14)):
            finish = deployment.load(
                load_parts(deployment.keys), LOAD_MILLIS, seed)
            codes = []
            for info in deployment.entry_infos:
                codes.append(deployment.replace(info, build))
                time.sleep(1)
            faults += check(deployment, title, finish(), codes)
        codes = [deployment.replace(info, new)
                 for info in deployment.entry_infos[:2]]
        records = deployment.load(
            load_parts(deployment.keys), LOAD_MILLIS, 15)()
        faults += check(deployment, "two new beside old", records, codes)
        codes = deployment.stop()
        print("last stop:", codes)
        faults += sum(code != 0 for code in codes.values())
    except BaseException:
        deployment.kill()
        raise
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
