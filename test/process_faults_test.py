"""The worst faults, with real processes: kills, stops, outages and races."""

import json
import signal
import subprocess
import threading
import unittest

import support
from support import cluster


class KillTest(support.DeploymentTest):
    entries = 4

    def test_killed_entry(self):
        finish = self.deployment.load(self.parts(), 4000, seed=11)
        victim = self.deployment.entry_infos[1]
        self.wait_runs(200)
        self.deployment.entries[victim["instance"]].kill()
        records = finish()
        self.assert_promises(records)
        ran = [r for r in records if r["outcome"] == "ran"]
        self.assertGreater(len(ran), 300)
        self.deployment.start_entry(victim)
        cluster.wait_until(lambda: self.serves(victim), "the new run to serve")

    def wait_runs(self, count):
        cluster.wait_until(
            lambda: sum(
                len(record["runs"])
                for record in self.deployment.worker_records()
            ) >= count,
            f"{count} runs",
        )


class PauseTest(support.DeploymentTest):
    def test_paused_beyond_its_lease(self):
        victim = self.deployment.entry_infos[0]
        others = self.deployment.entry_infos[1:]
        process = self.deployment.entries[victim["instance"]]
        finish = self.deployment.load(self.parts(), 6000, seed=12)
        process.signal(signal.SIGSTOP)
        # The lease is over once the others see the entry's record go.
        try:
            cluster.wait_until(
                lambda: self.entries_seen(others[0]) == 2,
                "the others to go on without it",
            )
            # Until the paused entry's lease is over, a team whose places have
            # their home there may be refused.
            for info in others:
                cluster.wait_until(lambda: self.serves(info), "service")
        finally:
            process.signal(signal.SIGCONT)
        self.assert_promises(finish())
        cluster.wait_until(lambda: self.serves(victim), "service after it")

    def entries_seen(self, info):
        reply = self.deployment.ctl("--json", "status", entries=[info])
        return json.loads(reply.stdout)[0]["entries"]


class StoreOutageTest(support.DeploymentTest):
    def test_outage_and_withdrawal(self):
        infos = self.deployment.entry_infos
        given = json.loads(
            self.deployment.ctl("--json", "keys", "give", "foremen").stdout
        )
        self.deployment.keys["extra"] = given["key"]
        self.assertEqual(
            self.post("foremen-status", team="extra")[1]["X-Outcome"], "ran"
        )
        # Homes are taken before the outage; without one nothing was served.
        for info in infos:
            cluster.wait_until(lambda: self.serves(info), "service before it")
        self.deployment.fault(operation="*", kind="refuse")
        try:
            # Idempotent work goes on while peers agree; a claim can't be had.
            for info in infos:
                self.assertTrue(self.serves(info))
            reply = self.post("settlements", b"work=1 id=out\n",
                              "settlement-desk", Idempotency_Key="outage-1")
            answer = json.loads(reply[2])
            self.assertEqual(answer["outcome"], "not-run")
            self.assertEqual(answer["code"], 306)
            withdrawn = self.deployment.ctl(
                "--json", "keys", "withdraw", given["id"], check=False
            )
            self.assertEqual(withdrawn.returncode, 0, withdrawn.stderr)
            self.assertFalse(json.loads(withdrawn.stdout)["stored"])
            for info in infos:
                reply = self.post("foremen-status", team="extra", info=info)
                self.assertEqual(json.loads(reply[2])["code"], 204)
        finally:
            self.deployment.clear_faults()
        cluster.wait_until(
            lambda: self.post(
                "settlements", b"work=1 id=out\n", "settlement-desk",
                Idempotency_Key="outage-1",
            )[1]["X-Outcome"] == "ran",
            "claims after the outage",
        )
        runs = [
            run
            for record in self.deployment.worker_records()
            for run in record["runs"]
            if run["tag"] == "work=1 id=out"
        ]
        self.assertEqual(len(runs), 1)


class RollingTest(support.DeploymentTest):
    entries = 7

    def test_all_entries_replaced_one_after_the_other(self):
        finish = self.deployment.load(self.parts(callers=2), 25000, seed=13)
        for info in self.deployment.entry_infos:
            code = self.deployment.entries[info["instance"]].stop()
            self.assertEqual(code, 0, info["instance"])
            self.deployment.start_entry(info)
            self.deployment.wait_ready([info])
        records = finish()
        self.assert_promises(records)
        # A planned stop cuts off no request: callers only ever see a closed
        # port or a true refusal.
        lost = [r for r in records if r["outcome"] in ("cut", "unknown")]
        self.assertEqual(lost, [])


class RaceTest(support.DeploymentTest):
    def test_two_publishers(self):
        version = self.version()
        results = [None, None]

        def publish(number):
            results[number] = self.deployment.ctl(
                "--json", "--base", str(version), "publish",
                self.deployment.intent_dir,
                entries=[self.deployment.entry_infos[number]], check=False,
            )

        threads = [
            threading.Thread(target=publish, args=(number,))
            for number in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(
            sorted(result.returncode for result in results), [0, 4]
        )
        stale = [r for r in results if r.returncode == 4][0]
        self.assertIn(b"error 111", stale.stderr)
        cluster.wait_until(
            lambda: self.version() == version + 1, "one new version"
        )

    def version(self):
        reply = self.deployment.ctl("--json", "status")
        return min(
            status["intentVersion"] for status in json.loads(reply.stdout)
        )


class LogTest(support.DeploymentTest):
    """Logs hold no key, token or payload; a trace is followed in them."""

    def test_logs_and_trace(self):
        trace = "4bf92f3577b34da6a3ce929d0e0e4736"
        reply = self.post(
            "gate-counts", b"work=1 id=payload-of-the-caller\n",
            "returns-docks", traceparent=f"00-{trace}-00f067aa0ba902b7-01",
        )
        self.assertEqual(reply[1]["X-Outcome"], "ran")
        self.assertIn(trace, reply[1]["traceparent"])
        logs = [self.deployment.path(info["instance"] + ".log")
                for info in self.deployment.entry_infos]
        cluster.wait_until(
            lambda: any(trace in self.read(path) for path in logs), "the span"
        )
        secrets = [self.deployment.token, "payload-of-the-caller",
                   *self.deployment.keys.values()]
        for path in logs:
            text = self.read(path)
            for line in text.splitlines():
                self.assertIn("event", json.loads(line))
            for secret in secrets:
                self.assertNotIn(secret, text)
        tree = self.deployment.ctl("trace", *logs, "--id", trace).stdout
        self.assertIn(b"request", tree)
        self.assertIn(b"  slot", tree)
        self.assertIn(b"  dispatch", tree)
        explained = self.deployment.ctl("explain", "returns-docks").stdout
        self.assertIn(b"upper limit 120", explained)

    @staticmethod
    def read(path):
        with open(path, encoding="utf-8") as source:
            return source.read()


class SettingsTest(unittest.TestCase):
    def daemon(self, *arguments):
        return subprocess.run(
            [support.BUILD + "/tools/basilusherd", *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, check=False,
        )

    def test_messages(self):
        self.assertIn(b"--config", self.daemon("--help").stdout)
        self.assertIn(b"basilusherd", self.daemon("--version").stdout)
        self.assertEqual(self.daemon("--nonsense").returncode, 2)
        missing = self.daemon("--config", "/nonexistent.json")
        self.assertIn(b"error 101", missing.stderr)

    def test_bad_field_is_named(self):
        import tempfile

        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"instance": "e", "dataCentre": "d",
                       "address": "localhost", "httpPort": 99999,
                       "peerPort": 0, "store": {"address": "127.0.0.1",
                                                "port": 1},
                       "operatorTokenHash": "x"}, file)
            file.flush()
            reply = self.daemon("--config", file.name, "--check-config")
        self.assertEqual(reply.returncode, 3)
        for field in (b"/address", b"/httpPort", b"/operatorTokenHash"):
            self.assertIn(field, reply.stderr)
        self.assertIn(b"error 103", reply.stderr)


if __name__ == "__main__":
    unittest.main()
