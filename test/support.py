"""What the whole-program tests share."""

import os
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "utils"))

import cluster  # noqa: E402
import promises  # noqa: E402

BUILD = os.environ.get("BASILUSHER_BUILD", os.path.join(ROOT, "build"))


class DeploymentTest(unittest.TestCase):
    """A running deployment for each test class."""

    entries = 3
    deployment_name = "monterrey"

    @classmethod
    def setUpClass(cls):
        cls.deployment = cluster.Cluster(
            cls.deployment_name, BUILD, entries=cls.entries
        )
        try:
            cls.deployment.start()
            cls.deployment.publish_and_give_keys()
        except BaseException:
            cls.deployment.kill()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.deployment.kill()

    def post(self, queue, body=b"work=1 id=t\n", team=None, info=None,
             **headers):
        """Sends one request; returns (status, headers, body)."""
        sent = {name.replace("_", "-"): value for name, value in
                headers.items()}
        if team:
            sent["X-Team-Key"] = self.deployment.keys[team]
        info = info or self.deployment.entry_infos[0]
        return cluster.call(
            self.deployment.url(info, f"/v1/queues/{queue}/requests"),
            "POST", body, sent, timeout=30,
        )

    def assert_promises(self, records):
        broken = promises.check(
            records, self.deployment.worker_records(), self.deployment.teams()
        )
        self.assertEqual(broken, [])

    def parts(self, callers=3):
        """A load of an idempotent and a non-idempotent queue."""
        keys = self.deployment.keys
        return [
            {"queue": "gate-counts", "team": "returns-docks",
             "key": keys["returns-docks"], "idempotent": True,
             "callers": callers, "workMillis": 10, "pauseMillis": 5},
            {"queue": "settlements", "team": "settlement-desk",
             "key": keys["settlement-desk"], "idempotent": False,
             "callers": callers, "workMillis": 10, "pauseMillis": 5,
             "repeatEvery": 5},
        ]

    def serves(self, info):
        """Whether an entry runs an idempotent request."""
        try:
            reply = self.post("gate-counts", team="returns-docks", info=info)
        except OSError:
            return False
        return reply[1].get("X-Outcome") == "ran"
