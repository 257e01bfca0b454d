"""Measurements for docs/CAPACITY.md; each prints a table."""

import argparse
import json
import os
import shutil
import sys
import tempfile
import threading
import time

import cluster
import promises

TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Processor time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as source:
        fields = source.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as source:
        for line in source:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


def entry_pids(deployment):
    return [child.child.pid for child in deployment.entries.values()]


def write_intent(pools, teams, workers):
    """Writes an intent of the given size; returns its directory."""
    directory = tempfile.mkdtemp(prefix="basilusher-intent-")

    def write(path, value):
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w", encoding="utf-8") as out:
            json.dump(value, out)

    names = [f"team-{number:03}" for number in range(teams)]
    write(f"{directory}/teams.json",
          {name: {"share": 1 + number % 5, "limit": 20 + number % 80}
           for number, name in enumerate(names)})
    write(f"{directory}/deployment.json",
          {"name": "measure", "sparePool": "pool-000",
           "weights": {"bufferCost": 1, "rollOutTime": 1, "moves": 1,
                       "closenessToShare": 1}})
    ids = [f"w-{number:04}" for number in range(workers)]
    for number in range(pools):
        pool = f"pool-{number:03}"
        write(f"{directory}/{pool}/service.json",
              {"service": pool, "pool": pool, "availabilityBudget": 1,
               "workers": ids[number::pools],
               "queues": {f"queue-{number:03}": {
                   "class": "standard", "deadlineMillis": 5000,
                   "idempotent": True,
                   "teams": names[number % teams:number % teams + 3]
                            or names[:1]}}})
    return directory


def idle_row(entries, pools, teams, workers, seconds, build):
    """Starts a deployment without load and measures it at rest."""
    directory = write_intent(pools, teams, workers)
    deployment = cluster.Cluster("monterrey", build, entries=entries)
    deployment.intent_dir = directory
    deployment.worker_infos = [
        {"id": f"w-{number:04}", "address": "127.0.2.1", "port": 1,
         "data_centre": f"dc-{number % 8 + 1}", "rack": f"rack-{number // 4}",
         "slots": 8, "connections": 64, "leaving": False}
        for number in range(workers)
    ]
    try:
        deployment.start_without_workers()
        deployment.wait_live()
        cluster.wait_until(
            lambda: deployment.ctl("status", check=False).returncode == 0,
            "status")
        deployment.ctl("publish", directory)
        deployment.wait_ready()
        time.sleep(5)  # Homes are taken over in this time.
        pids = entry_pids(deployment)
        before = [processor_seconds(pid) for pid in pids]
        metrics = [deployment.metrics(info) for info in deployment.entry_infos]
        calls = deployment.store_calls()
        time.sleep(seconds)
        used = [processor_seconds(pid) - was for pid, was in zip(pids, before)]
        after = [deployment.metrics(info) for info in deployment.entry_infos]
        calls_after = deployment.store_calls()
        sent = [now["basilusher_peer_bytes_sent"]
                - was["basilusher_peer_bytes_sent"]
                for now, was in zip(after, metrics)]
        reads = sum(calls_after.get(name, 0) - calls.get(name, 0)
                    for name in ("get", "list", "watch", "instances"))
        writes = sum(calls_after.get(name, 0) - calls.get(name, 0)
                     for name in ("swap", "lease"))
        memory = [resident_megabytes(pid) for pid in pids]
        return (entries, pools, teams, workers,
                100 * max(used) / seconds, 100 * sum(used) / len(used) / seconds,
                max(memory), max(sent) / seconds,
                reads / seconds, writes / seconds)
    finally:
        deployment.kill()
        shutil.rmtree(directory)
        shutil.rmtree(deployment.directory)


def measure_scale(arguments):
    rows = [(7, 5, 6, 50), (14, 5, 6, 50), (28, 5, 6, 50),
            (7, 5, 6, 200), (7, 5, 6, 670),
            (7, 50, 6, 670), (7, 201, 6, 670),
            (7, 5, 60, 50), (7, 5, 260, 50),
            (28, 201, 260, 670)]
    print("entries at rest; processor in % of a core, memory in MB, messages "
          "to peers in bytes/s, store calls/s of all entries together")
    print(f"{'ENTRIES':>7} {'POOLS':>6} {'TEAMS':>6} {'WORKERS':>8} "
          f"{'CPU MAX':>8} {'CPU MEAN':>9} {'MEMORY':>7} {'BYTES/S':>9} "
          f"{'READS/S':>8} {'WRITES/S':>9}")
    for row in rows:
        result = idle_row(*row, arguments.seconds, arguments.build)
        print(f"{result[0]:7} {result[1]:6} {result[2]:6} {result[3]:8} "
              f"{result[4]:8.2f} {result[5]:9.2f} {result[6]:7.1f} "
              f"{result[7]:9.0f} {result[8]:8.1f} {result[9]:9.1f}",
              flush=True)


def path_row(deployment, direct, payload, callers, millis, seed):
    """One load; returns (requests/s, p50 ms, p99 ms, cpu ms/request)."""
    parts = [{"queue": "gate-counts", "team": "returns-docks",
              "key": deployment.keys["returns-docks"], "callers": callers,
              "workMillis": 0, "bodyBytes": payload}]
    pool = [name for service in deployment.service_files()
            if service["service"] == "clip-counts"
            for name in service["workers"]]
    targets = ",".join(f"{info['address']}:{info['port']}"
                       for info in deployment.worker_infos
                       if info["id"] in pool)
    pids = entry_pids(deployment)
    before = sum(processor_seconds(pid) for pid in pids)
    records = deployment.load(parts, millis, seed,
                              direct=targets if direct else None)()
    used = sum(processor_seconds(pid) for pid in pids) - before
    ran = [r for r in records if r["outcome"] == "ran"]
    times = [r["latency_micros"] / 1000 for r in ran]
    return (len(ran) * 1000 / millis, promises.quantile(times, 0.5),
            promises.quantile(times, 0.99), 1000 * used / max(1, len(ran)),
            len(records) - len(ran))


def measure_path(arguments):
    deployment = cluster.Cluster("monterrey", arguments.build)
    try:
        deployment.start()
        deployment.publish_and_give_keys()
        time.sleep(3)
        idle = max(resident_megabytes(pid) for pid in entry_pids(deployment))
        print(f"{'PAYLOAD':>8} {'CALLERS':>8} {'WAY':>10} {'REQ/S':>8} "
              f"{'P50 ms':>8} {'P99 ms':>8} {'CPU ms/REQ':>11} {'NOT RUN':>8}")
        seed = 100
        for payload in (1024, 262144):
            for callers in (1, 16, 64):
                for direct in (True, False):
                    seed += 1
                    row = path_row(deployment, direct, payload, callers,
                                   arguments.seconds * 1000, seed)
                    way = "direct" if direct else "basilusher"
                    cost = "" if direct else f"{row[3]:.2f}"
                    print(f"{payload:8} {callers:8} {way:>10} {row[0]:8.0f} "
                          f"{row[1]:8.2f} {row[2]:8.2f} {cost:>11} "
                          f"{row[4]:8}", flush=True)
        loaded = max(resident_megabytes(pid) for pid in entry_pids(deployment))
        print(f"resident memory of an entry: {idle:.1f} MB idle, "
              f"{loaded:.1f} MB after the load")
    finally:
        deployment.kill()
        shutil.rmtree(deployment.directory)


def print_distribution(name, values, bound):
    print(f"{name:44} {len(values):4} {min(values):8.0f} "
          f"{promises.quantile(values, 0.5):8.0f} "
          f"{promises.quantile(values, 0.9):8.0f} {max(values):8.0f} "
          f"{bound:>8}", flush=True)


class Recovery:
    """Times until service, changes and steadiness are back."""

    def __init__(self, deployment, runs):
        self.deployment = deployment
        self.runs = runs
        self.key = deployment.keys["returns-docks"]

    def request(self, info, queue="gate-counts", key=None, **headers):
        sent = {"X-Team-Key": key or self.key, **headers}
        try:
            reply = cluster.call(
                self.deployment.url(info, f"/v1/queues/{queue}/requests"),
                "POST", b"work=1 id=recovery\n", sent, timeout=10)
            return reply[1].get("X-Outcome", "none"), reply[0]
        except OSError:
            return "none", 0

    def operator(self, info, path, method="GET", body=None):
        reply = cluster.call(
            self.deployment.url(info, path), method, body,
            {"X-Operator-Token": self.deployment.token})
        return json.loads(reply[2])

    def until_all(self, condition):
        """Milliseconds until `condition` has held once for every entry."""
        start = time.monotonic()
        left = list(self.deployment.entry_infos)
        while left:
            left = [info for info in left if not condition(info)]
        return (time.monotonic() - start) * 1000

    def publish(self, run):
        infos = self.deployment.entry_infos
        info = infos[run % len(infos)]
        current = self.operator(info, "/operator/intent")
        reply = self.operator(
            info, f"/operator/intent?base={current['version']}", "POST",
            json.dumps(current["document"]).encode())
        return self.until_all(
            lambda other: self.operator(other, "/operator/status")[
                "intentVersion"] >= reply["version"])

    def withdraw(self, run):
        infos = self.deployment.entry_infos
        info = infos[run % len(infos)]
        given = self.operator(info, "/operator/keys?team=returns-docks",
                              "POST")
        self.until_all(lambda other: self.request(
            other, key=given["key"])[0] == "ran")
        self.operator(info, "/operator/keys/" + given["id"], "DELETE")
        return self.until_all(
            lambda other: self.request(other, key=given["key"])[1] == 401)

    def slot_home(self):
        grants = {info["instance"]: self.deployment.metrics(info).get(
            "basilusher_slot_grants", 0)
            for info in self.deployment.entry_infos}
        for _ in range(20):
            self.request(self.deployment.entry_infos[0])
        for info in self.deployment.entry_infos:
            now = self.deployment.metrics(info).get(
                "basilusher_slot_grants", 0)
            if now - grants[info["instance"]] >= 20:
                return info
        return self.deployment.entry_infos[0]

    def home_death(self, _run):
        home = self.slot_home()
        other = [info for info in self.deployment.entry_infos
                 if info != home][0]
        self.deployment.entries[home["instance"]].kill()
        start = time.monotonic()
        while self.request(other)[0] != "ran":
            pass
        took = (time.monotonic() - start) * 1000
        self.deployment.start_entry(home)
        self.deployment.wait_ready([home])
        return took

    def store_back(self, run):
        self.deployment.fault(operation="*", kind="refuse")
        time.sleep(2)
        self.deployment.clear_faults()
        return self.until_all(lambda info: self.request(
            info, queue="settlements",
            key=self.deployment.keys["settlement-desk"],
            **{"Idempotency-Key": f"{run}-{info['instance']}"})[0] == "ran")


def measure_recovery(arguments):
    deployment = cluster.Cluster("monterrey", arguments.build)
    try:
        deployment.start()
        deployment.publish_and_give_keys()
        recovery = Recovery(deployment, arguments.runs)
        print(f"{'MILLISECONDS':44} {'RUNS':>4} {'MIN':>8} {'P50':>8} "
              f"{'P90':>8} {'MAX':>8} {'BOUND':>8}")
        parts = [
            ("publish accepted to in force at all 7", recovery.publish, 5000),
            ("withdrawal to refused at all 7", recovery.withdraw, 5000),
            ("home of slots killed to next dispatch", recovery.home_death,
             5000),
            ("store back to claims at all 7", recovery.store_back, 5000),
        ]
        for name, part, bound in parts:
            values = [part(run) for run in range(arguments.runs)]
            print_distribution(name, values, bound)
    finally:
        deployment.kill()
        shutil.rmtree(deployment.directory)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("path", "scale", "recovery"))
    parser.add_argument("--build", required=True)
    parser.add_argument("--seconds", type=int, default=4)
    parser.add_argument("--runs", type=int, default=30)
    arguments = parser.parse_args()
    {"path": measure_path, "scale": measure_scale,
     "recovery": measure_recovery}[arguments.what](arguments)
    sys.exit(0)


if __name__ == "__main__":
    main()
