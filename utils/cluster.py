"""Starts and stops one deployment on loopback addresses, for demo and tests."""

import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START_TIMEOUT_SECONDS = 30
WORKERS_PER_RACK = 4
DATA_CENTRES = 3


def free_port(address):
    """Returns a port that was free on `address` a moment ago."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def call(url, method="GET", body=None, headers=None, timeout=10):
    """Makes one HTTP call; returns (status, headers, body)."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, dict(reply.headers), reply.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_until(condition, what, timeout=START_TIMEOUT_SECONDS):
    """Polls `condition` until it holds; raises TimeoutError naming `what`."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"timed out waiting for {what}")


class Process:
    """A child process that is ended by its id."""

    def __init__(self, arguments, log_path):
        self.log = open(log_path, "ab")
        self.child = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=self.log
        )

    def first_line(self):
        return self.child.stdout.readline().decode().strip()

    def signal(self, number):
        self.child.send_signal(number)

    def stop(self, timeout=60):
        if self.child.poll() is None:
            self.child.terminate()
        code = self.child.wait(timeout)
        self.close()
        return code

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.close()

    def close(self):
        self.child.stdout.close()
        self.log.close()


class Cluster:
    """A platform stand-in, stand-in workers and entries of one deployment."""

    def __init__(self, deployment, build, entries=7, directory=None):
        self.build = build
        self.intent_dir = os.path.join(ROOT, "share", "examples", deployment)
        self.directory = directory or tempfile.mkdtemp(prefix="basilusher-")
        self.token = secrets.token_hex(16)
        self.entry_infos = []
        self.worker_infos = []
        self.entries = {}
        self.platform = None
        self.workers = None
        self.keys = {}
        self._plan(entries)

    def tool(self, name):
        return os.path.join(self.build, "tools", name)

    def path(self, name):
        return os.path.join(self.directory, name)

    def write(self, name, value):
        with open(self.path(name), "w", encoding="utf-8") as out:
            json.dump(value, out)
        return self.path(name)

    def _plan(self, entries):
        for number in range(1, entries + 1):
            address = f"127.0.1.{number}"
            self.entry_infos.append(
                {
                    "instance": f"entry-{number}",
                    "incarnation": 0,
                    "address": address,
                    "http_port": free_port(address),
                    "peer_port": free_port(address),
                    "data_centre": f"dc-{(number - 1) % DATA_CENTRES + 1}",
                }
            )
        for service in self.service_files():
            for name in service["workers"]:
                number = len(self.worker_infos)
                address = f"127.0.2.{number + 1}"
                rack = number // WORKERS_PER_RACK
                self.worker_infos.append(
                    {
                        "id": name,
                        "address": address,
                        "port": free_port(address),
                        "data_centre": f"dc-{rack % DATA_CENTRES + 1}",
                        "rack": f"rack-{rack + 1}",
                        "slots": 8,
                        "connections": 64,
                        "leaving": False,
                    }
                )

    def service_files(self):
        services = []
        for name in sorted(os.listdir(self.intent_dir)):
            path = os.path.join(self.intent_dir, name, "service.json")
            if os.path.exists(path):
                with open(path, encoding="utf-8") as source:
                    services.append(json.load(source))
        return services

    def teams(self):
        path = os.path.join(self.intent_dir, "teams.json")
        with open(path, encoding="utf-8") as source:
            return json.load(source)

    def instances(self):
        return {"workers": self.worker_infos, "entries": self.entry_infos}

    def start(self):
        self.workers = Process(
            [
                self.tool("standin-worker"),
                "--workers",
                self.write("workers.json", self.worker_infos),
            ],
            self.path("workers.log"),
        )
        while self.workers.first_line() != "ready":
            pass
        self.start_without_workers()

    def start_without_workers(self):
        """Starts the platform, which lists workers that do not run."""
        self.platform = Process(
            [
                self.tool("standin-platform"),
                "--instances",
                self.write("instances.json", self.instances()),
            ],
            self.path("platform.log"),
        )
        self.platform_port = int(self.platform.first_line().split()[1])
        for info in self.entry_infos:
            self.start_entry(info)

    def start_entry(self, info):
        token_hash = subprocess.run(
            [self.tool("basilusherctl"), "hash"],
            input=self.token.encode(),
            stdout=subprocess.PIPE,
            check=True,
        ).stdout.decode().strip()
        settings = {
            "instance": info["instance"],
            "dataCentre": info["data_centre"],
            "address": info["address"],
            "httpPort": info["http_port"],
            "peerPort": info["peer_port"],
            "store": {"address": "127.0.0.1", "port": self.platform_port},
            "operatorTokenHash": token_hash,
            "logFile": self.path(info["instance"] + ".log"),
        }
        config = self.write(info["instance"] + ".json", settings)
        self.entries[info["instance"]] = Process(
            [self.tool("basilusherd"), "--config", config],
            self.path(info["instance"] + ".err"),
        )

    def entry_list(self, infos=None):
        return ",".join(
            f"{info['address']}:{info['http_port']}"
            for info in infos or self.entry_infos
        )

    def url(self, info, path):
        return f"http://{info['address']}:{info['http_port']}{path}"

    def is_up(self, info, path="/healthz/live"):
        try:
            return call(self.url(info, path), timeout=2)[0] == 200
        except OSError:
            return False

    def wait_live(self, infos=None):
        for info in infos or self.entry_infos:
            wait_until(lambda: self.is_up(info), info["instance"])

    def wait_ready(self, infos=None):
        for info in infos or self.entry_infos:
            wait_until(
                lambda: self.is_up(info, "/healthz/ready"),
                info["instance"] + " to be ready",
            )

    def ctl(self, *arguments, entries=None, check=True):
        environment = dict(os.environ, BASILUSHER_TOKEN=self.token)
        return subprocess.run(
            [
                self.tool("basilusherctl"),
                "--entry",
                self.entry_list(entries),
                *arguments,
            ],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            check=check,
        )

    def publish_and_give_keys(self):
        self.wait_live()
        wait_until(
            lambda: self.ctl("status", check=False).returncode == 0,
            "status of all entries",
        )
        self.ctl("publish", self.intent_dir)
        for team in self.teams():
            reply = json.loads(self.ctl("--json", "keys", "give", team).stdout)
            self.keys[team] = reply["key"]
        self.wait_ready()

    def fault(self, **fault):
        url = f"http://127.0.0.1:{self.platform_port}/fault"
        call(url, "POST", json.dumps(fault).encode())

    def clear_faults(self):
        call(f"http://127.0.0.1:{self.platform_port}/fault", "DELETE")

    def store_calls(self):
        url = f"http://127.0.0.1:{self.platform_port}/stats"
        return json.loads(call(url)[2])

    def metrics(self, info):
        text = call(self.url(info, "/metrics"))[2].decode()
        rows = (line.split() for line in text.splitlines())
        return {name: int(value) for name, value in rows}

    def notice(self, workers):
        """The platform announces maintenance of these workers."""
        url = f"http://127.0.0.1:{self.platform_port}/instances/notice"
        call(url, "POST", json.dumps(workers).encode())

    peak_rebooting = 0

    def listed(self):
        """The platform's list of workers, by id."""
        url = f"http://127.0.0.1:{self.platform_port}/instances"
        workers = json.loads(call(url)[2])["workers"]
        rebooting = sum(worker.get("rebooting", False) for worker in workers)
        self.peak_rebooting = max(self.peak_rebooting, rebooting)
        return {
            worker["id"]: {
                "maintained": worker.get("maintained", 0),
                "rebooting": worker.get("rebooting", False),
            }
            for worker in workers
        }

    def worker_records(self):
        records = []
        for info in self.worker_infos:
            url = f"http://{info['address']}:{info['port']}/record"
            records.append(json.loads(call(url, timeout=60)[2]))
        return records

    def load(self, parts, millis, seed, infos=None, direct=None):
        """Starts a load; returns a function that waits for its records."""
        plan = {
            "entries": direct or self.entry_list(infos),
            "parts": parts,
            "millis": millis,
            "seed": seed,
            "direct": direct is not None,
        }
        plan_path = self.write(f"plan-{seed}.json", plan)
        output = self.path(f"records-{seed}.json")
        child = Process(
            [
                self.tool("basilusher-load"),
                "--plan",
                plan_path,
                "--output",
                output,
            ],
            self.path("load.log"),
        )

        def finish():
            child.child.wait(millis / 1000 + 120)
            child.close()
            with open(output, encoding="utf-8") as source:
                return json.load(source)

        return finish

    def stop(self):
        """Stops everything gracefully; returns the entries' exit codes."""
        for process in self.entries.values():
            if process.child.poll() is None:
                process.signal(signal.SIGTERM)
        codes = {name: child.stop() for name, child in self.entries.items()}
        for process in (self.platform, self.workers):
            if process:
                process.stop()
        return codes

    def kill(self):
        """Ends everything at once, after a failure."""
        for process in [*self.entries.values(), self.platform, self.workers]:
            if process:
                try:
                    process.kill()
                except ValueError:
                    pass
