"""Nodes whose link to the store is slow: long answers need longer than the
time in which a call of the usual size ends."""

import http.client
import json
import os
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from node_test import PROGRAM, free_ports
from soak import ROOT  # makes the stand-ins importable

from platform_standin import Platform
from proxy import Proxy
from settings import HEARTBEAT_S, HOST, KEY, configuration, route

# The slowest machines of the deployments have 10 Mbit/s.
BYTES_PER_S = 10e6 / 8
# Largest value that the platform's store takes; a third more in base64.
LARGEST_VALUE = 1 << 20
GIVE_UP_S = 60
UNKNOWN_JOB = "00000000000000a1"
# Jobs whose records fill several pages of a list, each of a megabyte and more.
JOBS = 1200
JOB_TEXT = "x" * 2500


class Meter:
    """What a link carries, over all of its connections."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.lock = threading.Lock()
        self.free_at = 0.0
        self.carried = 0

    def carry(self, size):
        """Returns when the link has carried `size` further bytes."""
        with self.lock:
            self.free_at = (max(self.free_at, time.monotonic())
                            + size / self.bytes_per_s)
            self.carried += size
            due = self.free_at
        time.sleep(max(0.0, due - time.monotonic()))


class SlowLink(Proxy):
    """The way to `backend`, whose answers share one slow link."""

    CHUNK = 16384

    def __init__(self, address, backend):
        self.answers = Meter(BYTES_PER_S)
        super().__init__(address, backend)

    def _pass(self, source, target, near):
        # Buffers of the proxy would hide how slow the link is.
        source.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                          4 * self.CHUNK)
        try:
            while data := source.recv(self.CHUNK):
                if target is near:
                    self.answers.carry(len(data))
                target.sendall(data)
        except OSError:
            pass
        for end in (source, target):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def largest_configuration(version):
    """The largest one that the store takes, with a route /last/."""
    routes = [route("last", "/last/")]
    size = len(json.dumps(configuration(version, routes)))
    each = len(json.dumps(route("q-00000", "/padding-00000/"))) + 2
    for i in range((LARGEST_VALUE - size) // each):
        routes.append(route(f"q-{i:05}", f"/padding-{i:05}/"))
    return configuration(version, routes)


class SlowLinkTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform("127.0.0.1", HEARTBEAT_S, None)
        front, ready, peer, store = free_ports(4)
        self.link = SlowLink(f"127.0.0.1:{store}", self.platform.address)
        self.front = f"127.0.0.1:{front}"
        self.path = os.path.join(self.folder.name, "settings.json")
        with open(self.path, "w", encoding="utf-8") as out:
            json.dump({
                "Node": "n1", "Role": "node", "Ip": "127.0.0.1", "Zone": "z",
                "PortRange": [peer, peer],
                "Listen": {"Front": self.front,
                           "Ready": f"127.0.0.1:{ready}"},
                "platform": {"Addr": self.link.address},
                "Bounds": {"GraceS": 1}}, out)

    def tearDown(self):
        self.platform.close()
        self.link.listener.close()
        self.folder.cleanup()

    def status_of(self, target, method="GET", body=None):
        caller = http.client.HTTPConnection(self.front, timeout=5)
        try:
            caller.request(method, target, body,
                           {"Host": HOST, "Authorization": f"Bearer {KEY}",
                            "X-Deadline-Ms": "3000"})
            return caller.getresponse().status
        except OSError:
            return None
        finally:
            caller.close()

    def await_status(self, target, status):
        """Asks until the answer is `status`; returns the last answer."""
        end = time.monotonic() + GIVE_UP_S
        while True:
            last = self.status_of(target)
            if last == status or time.monotonic() > end:
                return last
            time.sleep(0.1)

    def run_node(self, check):
        with subprocess.Popen([PROGRAM, "--settings", self.path],
                              stdout=subprocess.DEVNULL) as node:
            try:
                check()
            finally:
                node.kill()

    def test_a_node_that_starts_gets_the_largest_configuration(self):
        self.platform.store.write("op/config", largest_configuration(1))

        def check():
            self.assertEqual(self.await_status("/last/" + UNKNOWN_JOB, 410),
                             410)
        self.run_node(check)

    def test_a_running_node_gets_the_largest_configuration(self):
        self.platform.store.write(
            "op/config", configuration(1, [route("first", "/first/")]))

        def check():
            self.assertEqual(self.await_status("/first/" + UNKNOWN_JOB, 410),
                             410)
            self.platform.store.write("op/config", largest_configuration(2))
            self.assertEqual(self.await_status("/last/" + UNKNOWN_JOB, 410),
                             410)
        self.run_node(check)

    def test_an_owner_loads_pages_that_take_longer_than_a_call(self):
        self.platform.store.write(
            "op/config", configuration(1, [route("first", "/first/")]))
        body = json.dumps({"Spec": JOB_TEXT, "Steps": [
            {"Count": 1, "Cpu": 100, "MemMb": 1, "EstimateMs": 100}]})

        def submit():
            self.assertEqual(self.await_status("/first/", 200), 200)
            for n in range(JOBS):
                self.assertEqual(
                    self.status_of(f"/first/{n:016x}", "POST", body), 200)
        self.run_node(submit)
        # Only the owner counts jobs, once it has loaded their records.
        self.run_node(lambda: self.assertEqual(
            self.await_status("/first/", 200), 200))


if __name__ == "__main__":
    unittest.main()
