"""Clients outside the limits must not take a process's memory or descriptors.

Each case states the memory and the descriptors of the machine in the node's own
settings, and checks that the process stays within them and answers an ordinary
client during the flood and after it. Nothing here depends on speed."""

import http.client
import http.server
import itertools
import json
import random
import resource
import socket
import subprocess
import threading
import time
import unittest

import floods
import node_test
from node_test import PROGRAM
import soak  # noqa: F401 makes the stand-ins importable

from settings import HEARTBEAT_S
from platform_standin import Platform

METRICS_PORT = 7001
# Answers that a client within the limits gets during a flood.
ORDINARY_ANSWERS = 5
LONGEST_WAIT_S = 30

MACHINE_MB = 32
LARGE_BODY = 262144
LARGE_SENT = 260000
TRAILER = b"a:b\r\n"


def free_ip():
    """A loopback address whose port of the metrics is free."""
    for _ in range(100):
        ip = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.1"
        with socket.socket() as probe:
            try:
                probe.bind((ip, METRICS_PORT))
                return ip
            except OSError:
                continue
    raise OSError("no free loopback address")


class Store(node_test.MuteStore):
    """Serves one configuration. With `endless` on the server it answers that
    many watches with trailers that do not end."""

    TOTAL = 24 << 20

    def do_GET(self):
        if "kv-key" in self.path:
            return self.reply(404)
        if "kv-watch" in self.path and next(self.server.watches) < (
                self.server.endless):
            self.send_endless()
            return None
        return super().do_GET()

    def reply(self, status):
        self.send_response(status)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"{}")

    def send_endless(self):
        self.close_connection = True
        head = (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n")
        block = TRAILER * 4096
        try:
            self.wfile.write(head)
            for _ in range(self.TOTAL // len(block)):
                self.wfile.write(block)
        except OSError:
            pass
        self.server.ended.release()


class NodeLimitsTest(node_test.NodeTest):
    def start(self, config=None, endless=0, store_address=None, **limits):
        """Starts a node under `limits`, with a store unless there is one."""
        handler = type("Handler", (Store,),
                       {"CONFIG": config} if config else {})
        self.store = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self.store.daemon_threads = True
        self.store.handle_error = lambda *_: None
        self.store.asked = threading.Event()
        self.store.closing = threading.Event()
        self.store.ended = threading.Semaphore(0)
        self.store.watches = itertools.count()
        self.store.endless = endless
        threading.Thread(target=self.store.serve_forever, daemon=True).start()
        ip = free_ip()
        ports = node_test.free_ports(3)
        self.limits = {"MemoryMb": MACHINE_MB, "MaxFds": 2000, **limits}
        self.settings.update({
            "Ip": ip, "PortRange": [ports[2], ports[2]],
            "Listen": {"Front": f"{ip}:{ports[0]}", "Ready": f"{ip}:{ports[1]}"},
            "platform": {"Addr": store_address or
                         f"127.0.0.1:{self.store.server_port}"},
            "Limits": self.limits})
        self.write(json.dumps(self.settings))
        self.addresses = {"front": (ip, ports[0]), "ready": (ip, ports[1]),
                          "peer": (ip, ports[2]),
                          "metrics": (ip, METRICS_PORT)}
        most = self.limits["MaxFds"]
        self.node = subprocess.Popen(
            [PROGRAM, "--settings", self.path], stdout=subprocess.PIPE,
            text=True, preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (most, most)))
        self.addCleanup(self.stop)
        if not endless:
            self.wait_for(self.node, "configuration")
        # The log is read to its end, as by the platform.
        threading.Thread(target=self.node.stdout.read, daemon=True).start()
        self.floods = []
        self.most_descriptors = 0

    def stop(self):
        for flood in self.floods:
            flood.close()
        self.node.kill()
        self.node.wait()
        self.store.closing.set()
        self.store.shutdown()
        self.store.server_close()

    def flood(self, where, count, head, block=b"", total=0):
        """Opens the connections at once and returns a thread that sends."""
        flood = floods.Flood(self.addresses[where], count, head, block, total)
        self.floods.append(flood)
        thread = threading.Thread(target=flood.run, daemon=True)
        thread.start()
        return thread

    def ask(self, timeout=5):
        """Status of one request of an ordinary client; None without one."""
        connection = http.client.HTTPConnection(*self.addresses["front"],
                                                timeout=timeout)
        try:
            connection.request("GET", "/q/00000000000000a1",
                               headers={"Host": "host"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def sample_descriptors(self):
        self.assertIsNone(self.node.poll(), "the node has ended")
        self.most_descriptors = max(self.most_descriptors,
                                    floods.open_descriptors(self.node.pid))

    def assert_answers(self, count):
        """A client within the limits gets `count` answers."""
        seen = []
        end = time.monotonic() + LONGEST_WAIT_S
        while seen.count(410) < count and time.monotonic() < end:
            self.sample_descriptors()
            seen.append(self.ask())
            if seen[-1] != 410:
                time.sleep(0.05)
        self.assertGreaterEqual(seen.count(410), count, seen[-20:])

    def assert_within_limits(self, threads, descriptors=None):
        """While `threads` send and after it."""
        self.assert_answers(ORDINARY_ANSWERS)
        for thread in threads:
            while thread.is_alive():
                thread.join(0.05)
                self.sample_descriptors()
        self.assert_answers(1)
        for flood in self.floods:
            flood.close()
        self.assert_answers(1)
        peak = floods.peak_resident_mb(self.node.pid)
        print(f"\n{self.id()}: peak {peak:.1f} MB of "
              f"{self.limits['MemoryMb']}, descriptors "
              f"{self.most_descriptors}")
        self.assertLessEqual(peak, self.limits["MemoryMb"])
        if descriptors:
            self.assertLessEqual(self.most_descriptors, descriptors)

    def chunked(self, path="/q/00000000000000a1"):
        return (f"POST {path} HTTP/1.1\r\nHost: host\r\n"
                "Transfer-Encoding: chunked\r\n\r\n").encode()

    def flood_all(self, count, head, block, total):
        return [self.flood(where, count, head, block, total)
                for where in self.addresses]


class NodeMemoryTest(NodeLimitsTest):
    def test_endless_trailers(self):
        """Trailers were buffered without a bound until the message's end."""
        self.start()
        self.assert_within_limits(self.flood_all(
            2, self.chunked() + b"0\r\n", TRAILER, 12 << 20))

    def test_endless_chunk_extension(self):
        """A chunk's size line was buffered without a bound."""
        self.start()
        self.assert_within_limits(self.flood_all(
            2, self.chunked() + b"1;", b"x" * 64, 12 << 20))

    def test_partly_sent_bodies(self):
        """Bodies within the limit, held by many connections at once."""
        self.start()
        head = (f"POST /q/00000000000000a1 HTTP/1.1\r\nHost: host\r\n"
                f"Content-Length: {LARGE_BODY}\r\n\r\n").encode()
        self.assert_within_limits([self.flood(
            "front", 200, head, b"x" * 1000, len(head) + LARGE_SENT)])

    def test_partly_sent_chunks(self):
        """As above, with a length that is not known from the head."""
        self.start()
        self.assert_within_limits([self.flood(
            "front", 200, self.chunked() + b"3f000\r\n", b"x" * 1000,
            250000)])

    def test_incomplete_heads(self):
        """Heads that never end, from many connections."""
        self.start(MemoryMb=16)
        threads = [
            self.flood(where, 200, b"GET / HTTP/1.1\r\nHost: host\r\n",
                       b"x: y\r\n", 16300) for where in self.addresses]
        self.assert_within_limits(threads)

    def test_many_small_headers(self):
        """A head within its limit takes much more memory once it is parsed."""
        self.start()
        fields = b"a:b\r\n" * 3200
        head = (b"POST /q/00000000000000a1 HTTP/1.1\r\nHost: host\r\n"
                b"Content-Length: 4000\r\n" + fields + b"\r\n")
        self.assert_within_limits([self.flood("front", 200, head, b"x",
                                              len(head) + 2000)])

    def test_answers_that_nobody_reads(self):
        """The configuration is sent between nodes and may be large."""
        routes = [{"Name": "q", "Host": "host", "Prefix": "/q/",
                   "Service": "s", "Public": True}]
        routes += [{"Name": f"q{n}", "Host": "host", "Prefix": f"/q{n}/",
                    "Service": "s", "Public": True} for n in range(4000)]
        self.start({"Version": 1, "Services": [{"Name": "s"}],
                    "Routes": routes})
        call = (b"POST /v1/node/catalog HTTP/1.1\r\nHost: host\r\n"
                b"Content-Length: 2\r\n\r\n{}")
        self.assert_within_limits([self.flood("peer", 120, call, call,
                                              10 * len(call))])

    def test_endless_answer_of_the_store(self):
        """Trailers of a response were buffered without a bound."""
        self.start(endless=2)
        for _ in range(2):
            self.assertTrue(self.store.ended.acquire(timeout=60))
        self.assert_within_limits([])


class EndlessServer:
    """Answers each call with trailers that do not end, as a worker or a node
    that has gone wrong."""

    TOTAL = 24 << 20

    def __init__(self, ip):
        answers = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.close_connection = True
                block = TRAILER * 4096
                try:
                    self.wfile.write(
                        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                        b"\r\n\r\n0\r\n")
                    for _ in range(answers.TOTAL // len(block)):
                        self.wfile.write(block)
                except OSError:
                    pass
                answers.ended.release()

            def log_message(self, *_):
                pass

        self.ended = threading.Semaphore(0)
        self.server = http.server.ThreadingHTTPServer((ip, 0), Handler)
        self.server.daemon_threads = True
        self.address = f"{ip}:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class NodeAnswersTest(NodeLimitsTest):
    """Endless answers of those that the node calls."""

    CALLS = 4

    def start_beside(self, prepare):
        """Starts a node on a whole store, which `prepare` has filled."""
        platform = Platform("127.0.0.1", HEARTBEAT_S,
                            lambda *_: None)
        self.addCleanup(platform.close)
        platform.store.write("op/config", Store.CONFIG)
        prepare(platform.store)
        self.start(store_address=platform.address)

    def endless_server(self):
        server = EndlessServer("127.0.0.1")
        self.addCleanup(server.close)
        return server

    def wait_for_calls(self, server):
        for _ in range(self.CALLS):
            self.assertTrue(server.ended.acquire(timeout=60))

    def test_endless_answer_of_a_worker(self):
        server = self.endless_server()
        entry = {"Service": "s", "Addr": server.address, "Zone": "z",
                 "Version": "v1", "Slots": 8, "State": "ready",
                 "ColdLeftMs": 0, "Labels": ["a"], "ClockMs": 1000, "Seq": 1,
                 "Room": {"Cpu": 32000, "MemMb": 65536, "Gpu": 0},
                 "born": int(time.time() * 1000)}
        self.start_beside(
            lambda store: store.write("servers/i-01-1", entry))
        self.wait_for_calls(server)
        self.assert_within_limits([])


    def test_endless_answer_of_a_peer(self):
        """Requests for a job's state are forwarded to the owner's node."""
        server = self.endless_server()
        owner = {"node": "n9", "address": server.address,
                 "incarnation": "x", "term": 1}
        stores = []

        def prepare(store):
            stores.append(store)
            store.write("b/c/term", {"term": 1})
            store.write("b/c/owner", owner)
        self.start_beside(prepare)
        asking = [threading.Thread(target=self.ask, daemon=True)
                  for _ in range(self.CALLS)]
        for thread in asking:
            thread.start()
        self.wait_for_calls(server)
        for thread in asking:
            thread.join()
        stores[0].remove("b/c/owner")
        self.assert_within_limits([])


class NodeDescriptorsTest(NodeLimitsTest):
    def test_connections_up_to_the_limit(self):
        """Idle connections to all addresses left no descriptor for the
        store."""
        self.start(MaxFds=400)
        self.assert_within_limits(
            [self.flood(where, 150, b"") for where in self.addresses],
            descriptors=300)


class NodeAllAtOnceTest(NodeLimitsTest):
    def test_all_at_once(self):
        self.start(MaxFds=1000)
        head = (f"POST /q/00000000000000a1 HTTP/1.1\r\nHost: host\r\n"
                f"Content-Length: {LARGE_BODY}\r\n\r\n").encode()
        threads = self.flood_all(1, self.chunked() + b"0\r\n", TRAILER,
                                 12 << 20)
        threads += self.flood_all(1, self.chunked() + b"1;", b"x" * 64,
                                  12 << 20)
        threads.append(self.flood("front", 150, head, b"x" * 1000,
                                  len(head) + LARGE_SENT))
        threads += [self.flood(where, 100, b"") for where in self.addresses]
        self.assert_within_limits(threads, descriptors=800)


if __name__ == "__main__":
    unittest.main()
