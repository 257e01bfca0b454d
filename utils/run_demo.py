"""Runs the demo: a deployment, a mixed load and the promises' checks."""

import argparse
import collections
import json
import os
import shutil
import sys
import time

import cluster
import promises

CALLERS = {"urgent": 6, "standard": 4, "background": 2}
WORK_MILLIS = {"urgent": 5, "standard": 10, "background": 30}
REPEAT_EVERY = 20


def load_parts(deployment):
    """One group of callers for each queue and team that may use it."""
    parts = []
    teams = sorted(deployment.teams())
    for service in deployment.service_files():
        for name, queue in service["queues"].items():
            allowed = teams[:2] if queue.get("open") else queue["teams"]
            for team in allowed:
                parts.append(
                    {
                        "queue": name,
                        "team": team,
                        "key": deployment.keys[team],
                        "idempotent": queue["idempotent"],
                        "callers": CALLERS[queue["class"]],
                        "workMillis": WORK_MILLIS[queue["class"]],
                        "bodyBytes": 400,
                        "pauseMillis": 5,
                        "repeatEvery": REPEAT_EVERY,
                    }
                )
    return parts


def print_tables(records, calls, seconds, deployment):
    print(f"\n{'QUEUE':22} {'OUTCOME':9} {'CODE':>5} {'COUNT':>7} "
          f"{'P50 ms':>8} {'P99 ms':>8}")
    for row in promises.outcome_table(records):
        print(f"{row[0]:22} {row[1]:9} {row[2]:5} {row[3]:7} "
              f"{row[4]:8.1f} {row[5]:8.1f}")
    teams = deployment.teams()
    total_share = sum(team["share"] for team in teams.values())
    ran = collections.Counter(
        record["team"] for record in records if record["outcome"] == "ran"
    )
    print(f"\n{'TEAM':22} {'SHARE':>7} {'OF ANSWERS':>11}")
    for team, settings in sorted(teams.items()):
        part = ran[team] / max(1, sum(ran.values()))
        print(f"{team:22} {settings['share'] / total_share:7.1%} {part:11.1%}")
    print(f"\n{'STORE CALL':22} {'PER SECOND':>11}")
    for name, count in sorted(calls.items()):
        print(f"{name:22} {count / seconds:11.1f}")


def start_wave(deployment):
    """Announces maintenance of one pool and moves a worker of another."""
    services = deployment.service_files()
    pool = services[0]
    deployment.notice(pool["workers"])
    copy = os.path.join(deployment.directory, "intent")
    shutil.copytree(deployment.intent_dir, copy)
    source, target = services[1], services[2]
    worker = source["workers"].pop()
    target["workers"].append(worker)
    for service in (source, target):
        path = os.path.join(copy, service["service"], "service.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(service, out)
    deployment.ctl("publish", copy)
    print(f"announced maintenance of {len(pool['workers'])} workers of "
          f"{pool['pool']} (budget {pool['availabilityBudget']}), moved "
          f"{worker} from {source['pool']} to {target['pool']}", flush=True)
    return pool["workers"], worker, target["pool"]


def check_wave(deployment, wave):
    """Waits for the wave's end; returns broken promises."""
    workers, moved, target = wave
    start = time.monotonic()
    try:
        cluster.wait_until(
            lambda: all(deployment.listed()[worker]["maintained"] == 1
                        and not deployment.listed()[worker]["rebooting"]
                        for worker in workers),
            "the wave", 120)
        cluster.wait_until(
            lambda: f"belongs to pool {target} now" in deployment.ctl(
                "explain", moved, check=False).stdout.decode(),
            "the move", 60)
    except TimeoutError as error:
        return [str(error)]
    print(f"the wave and the move were over {time.monotonic() - start:.1f} s "
          "after the load")
    return [f"{deployment.peak_rebooting} workers rebooting at once over the "
            "budget"] if deployment.peak_rebooting > 2 else []


def run(arguments):
    deployment = cluster.Cluster(arguments.deployment, arguments.build)
    try:
        print(f"starting {arguments.deployment}: 1 platform stand-in, "
              f"{len(deployment.worker_infos)} workers, "
              f"{len(deployment.entry_infos)} entries", flush=True)
        deployment.start()
        print("publishing the example intent and giving keys", flush=True)
        deployment.publish_and_give_keys()
        print(f"sending a mixed load for {arguments.seconds} s", flush=True)
        before = deployment.store_calls()
        finish = deployment.load(
            load_parts(deployment), arguments.seconds * 1000, arguments.seed
        )
        killed = None
        wave = start_wave(deployment) if arguments.wave else None
        if arguments.kill_entry:
            time.sleep(arguments.seconds / 2)
            killed = deployment.entry_infos[arguments.kill_entry - 1]
            deployment.entries[killed["instance"]].kill()
            print(f"killed {killed['instance']}", flush=True)
        records = finish()
        after = deployment.store_calls()
        calls = {name: after[name] - before.get(name, 0) for name in after}
        print_tables(records, calls, arguments.seconds, deployment)
        broken = promises.check(
            records, deployment.worker_records(), deployment.teams()
        )
        if wave:
            broken += check_wave(deployment, wave)
        if killed:
            del deployment.entries[killed["instance"]]
        else:
            lost = [
                record
                for record in records
                if record["outcome"] in ("unknown", "cut", "unreached")
            ]
            broken += [f"no sure answer without a fault: {lost[0]}"] if lost else []
        codes = deployment.stop()
        broken += [
            f"{name} stopped with exit code {code}"
            for name, code in codes.items()
            if code != 0
        ]
    except BaseException:
        deployment.kill()
        raise
    print(f"\n{len(records)} submissions, {len(broken)} broken promises")
    for line in broken[:20]:
        print("BROKEN " + line)
    if broken:
        print(f"logs are kept in {deployment.directory}")
    else:
        shutil.rmtree(deployment.directory)
    return 1 if broken else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=("monterrey", "gujarat"), default="monterrey"
    )
    parser.add_argument("--build", required=True, help="build directory")
    parser.add_argument("--seconds", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--kill-entry",
        type=int,
        nargs="?",
        const=3,
        default=0,
        metavar="NUMBER",
        help="kill this entry (1 to 7) in the middle of the load",
    )
    parser.add_argument(
        "--wave", action="store_true",
        help="a maintenance wave and a move while the load runs")
    sys.exit(run(parser.parse_args()))


if __name__ == "__main__":
    main()
