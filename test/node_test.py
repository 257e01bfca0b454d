"""The node daemon as a process: its settings file and its planned stop."""

import base64
import http.client
import http.server
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest
import urllib.parse

from support import BUILD

PROGRAM = os.path.join(BUILD, "tools", "basilusher-node")


# Below the ports that the system gives to outgoing connections and to servers
# that ask for any: those took a port between its choice and its use.
PORTS = range(20000, 30000)


def free_ports(count):
    """Ports of the loopback address that nothing listens on."""
    ports = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("no free ports")


class MuteStore(http.server.BaseHTTPRequestHandler):
    """A platform's store that serves one configuration and leaves every
    transaction that holds a job unanswered."""

    protocol_version = "HTTP/1.1"
    CONFIG = {
        "Version": 1, "Services": [{"Name": "s"}],
        "Routes": [{"Name": "q", "Host": "host", "Prefix": "/q/",
                    "Service": "s", "Public": True}],
    }

    def answer(self, body):
        data = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        query = urllib.parse.parse_qs(url.query)
        if url.path.endswith("kv-watch"):
            self.server.closing.wait(int(query["WaitMs"][0]) / 1000)
            return self.answer({"events": [], "CurrentRev": 1})
        value = base64.b64encode(json.dumps(self.CONFIG).encode()).decode()
        items = [{"Key": "op/config", "Rev": 1, "Value": value}]
        return self.answer({"items": items if query["Prefix"] == ["op/"]
                            else [], "CurrentRev": 1})

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if b"/job/" in body:
            self.server.asked.set()
            self.server.closing.wait()
            self.close_connection = True
            return None
        return self.answer({"Lease": 1, "TtlMs": 1500, "Rev": 1})

    def do_DELETE(self):
        self.answer({})

    def log_message(self, *_):
        pass


class NodeTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.folder.name, "settings.json")
        front, ready, peer, store = free_ports(4)
        self.settings = {
            "Node": "n1", "Role": "node", "Ip": "127.0.0.1", "Zone": "z",
            "PortRange": [peer, peer],
            "Listen": {"Front": f"127.0.0.1:{front}",
                       "Ready": f"127.0.0.1:{ready}"},
            "platform": {"Addr": f"127.0.0.1:{store}"},
            "Bounds": {"GraceS": 1},
        }
        self.write(json.dumps(self.settings))

    def tearDown(self):
        self.folder.cleanup()

    def write(self, text):
        """Replaces the settings file as a whole."""
        fresh = self.path + ".new"
        with open(fresh, "w", encoding="utf-8") as out:
            out.write(text)
        os.replace(fresh, self.path)

    def wait_for(self, node, event):
        """The next log line of `event`."""
        for line in node.stdout:
            record = json.loads(line)
            if record["event"] == event:
                return record
        self.fail(f"the node ended without {event}")


class NodeStopTest(NodeTest):
    def setUp(self):
        super().setUp()
        self.store = http.server.ThreadingHTTPServer(("127.0.0.1", 0),
                                                     MuteStore)
        self.store.daemon_threads = True
        # The node leaves its watches when it ends.
        self.store.handle_error = lambda *_: None
        self.store.asked = threading.Event()
        self.store.closing = threading.Event()
        threading.Thread(target=self.store.serve_forever, daemon=True).start()
        self.settings["platform"]["Addr"] = (
            f"127.0.0.1:{self.store.server_port}")
        self.write(json.dumps(self.settings))

    def tearDown(self):
        self.store.closing.set()
        self.store.shutdown()
        self.store.server_close()
        super().tearDown()

    def stop_while_a_caller_waits(self, freeze_s=0.0):
        """Hands in a job that the store does not answer, stops the node, and
        returns the caller's answer and the node's last line."""
        with subprocess.Popen([PROGRAM, "--settings", self.path],
                              stdout=subprocess.PIPE, text=True) as node:
            self.wait_for(node, "configuration")
            caller = http.client.HTTPConnection(
                self.settings["Listen"]["Front"])
            job = {"Spec": "", "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1,
                                          "EstimateMs": 100}]}
            caller.request("POST", "/q/00000000000000a1", json.dumps(job),
                           {"Host": "host", "X-Deadline-Ms": "60000"})
            self.assertTrue(self.store.asked.wait(30))
            node.terminate()
            self.wait_for(node, "stopping")
            if freeze_s:
                node.send_signal(signal.SIGSTOP)
                time.sleep(freeze_s)
                node.send_signal(signal.SIGCONT)
            status = caller.getresponse().status
            caller.close()
            last = self.wait_for(node, "stop")
            self.assertEqual(node.wait(), 0)
            return status, last

    def test_a_caller_that_waits_for_a_silent_store_is_answered(self):
        status, last = self.stop_while_a_caller_waits()
        self.assertEqual(status, 504)
        self.assertEqual(last["unanswered"], 0)

    def test_a_node_frozen_beyond_its_grace_answers_before_it_ends(self):
        status, last = self.stop_while_a_caller_waits(
            freeze_s=1.5 * self.settings["Bounds"]["GraceS"])
        self.assertEqual(status, 504)
        self.assertEqual(last["unanswered"], 0)


class NodeSettingsTest(NodeTest):
    def test_settings_are_read_again(self):
        with subprocess.Popen([PROGRAM, "--settings", self.path],
                              stdout=subprocess.PIPE, text=True) as node:
            self.wait_for(node, "start")
            self.settings["platform"]["Addr"] = "127.0.0.1:9"
            self.write(json.dumps(self.settings))
            node.send_signal(signal.SIGHUP)
            record = self.wait_for(node, "reload")
            self.assertEqual(record["store"], "127.0.0.1:9")
            self.assertFalse(record["restart_needed"])
            # Without a signal; a broken file changes nothing.
            self.write("{")
            record = self.wait_for(node, "reload-failed")
            self.assertEqual(record["kept"], "earlier")
            self.settings["Listen"]["Front"] = "127.0.0.1:9"
            self.write(json.dumps(self.settings))
            self.assertTrue(self.wait_for(node, "reload")["restart_needed"])
            node.terminate()
            self.wait_for(node, "stop")
            self.assertEqual(node.wait(), 0)

    def test_settings_are_checked(self):
        self.settings.pop("platform")
        self.write(json.dumps(self.settings))
        result = subprocess.run(
            [PROGRAM, "--check-settings", "--settings", self.path],
            capture_output=True, text=True, check=False)
        self.assertEqual(result.returncode, 3)
        self.assertIn("platform", result.stderr)


if __name__ == "__main__":
    unittest.main()
