"""Clients outside the limits of basilusherd, as in client_limits_test.py.

The stated memory of the machine is that of the entry's default settings; the
clients send more than it."""

import gzip
import threading
import time
import unittest

import floods
import support

MACHINE_MB = 256
# Of an entry with its default number of threads.
MOST_DESCRIPTORS = 700
ORDINARY_ANSWERS = 5
LONGEST_WAIT_S = 30
HEADER = b"a:b\r\n"


class EntryLimitsTest(support.DeploymentTest):
    entries = 1

    def setUp(self):
        self.info = self.deployment.entry_infos[0]
        self.address = (self.info["address"], self.info["http_port"])
        self.entry = self.deployment.entries[self.info["instance"]].child
        self.floods = []
        self.addCleanup(self.close)

    def close(self):
        for flood in self.floods:
            flood.close()

    def head(self, *lines):
        return "\r\n".join([
            "POST /v1/queues/gate-counts/requests HTTP/1.1", "Host: x",
            f"X-Team-Key: {self.deployment.keys['returns-docks']}", *lines,
            "", ""]).encode()

    def flood(self, count, head, block=b"", total=0):
        flood = floods.Flood(self.address, count, head, block, total)
        self.floods.append(flood)
        thread = threading.Thread(target=flood.run, daemon=True)
        thread.start()
        return thread

    def assert_answers(self, count):
        answered = 0
        end = time.monotonic() + LONGEST_WAIT_S
        while answered < count and time.monotonic() < end:
            self.assertIsNone(self.entry.poll(), "the entry has ended")
            if self.serves(self.info):
                answered += 1
            else:
                time.sleep(0.05)
        self.assertGreaterEqual(answered, count)

    def assert_within_limits(self, *threads):
        self.assert_answers(ORDINARY_ANSWERS)
        most = floods.open_descriptors(self.entry.pid)
        for thread in threads:
            while thread.is_alive():
                thread.join(0.05)
                self.assertIsNone(self.entry.poll(), "the entry has ended")
                most = max(most, floods.open_descriptors(self.entry.pid))
        self.assert_answers(1)
        self.close()
        self.assert_answers(1)
        peak = floods.peak_resident_mb(self.entry.pid)
        print(f"\n{self.id()}: peak {peak:.1f} MB of {MACHINE_MB}, "
              f"descriptors {most}")
        self.assertLessEqual(peak, MACHINE_MB)
        self.assertLessEqual(most, MOST_DESCRIPTORS)


class EntryTrailersTest(EntryLimitsTest):
    def test_endless_trailers(self):
        """Trailers must not be kept without a bound."""
        self.assert_within_limits(self.flood(
            8, self.head("Transfer-Encoding: chunked") + b"0\r\n", HEADER,
            16 << 20))


class EntryExtensionsTest(EntryLimitsTest):
    def test_endless_chunk_extension(self):
        """A chunk's size line was buffered without a bound."""
        self.assert_within_limits(self.flood(
            8, self.head("Transfer-Encoding: chunked") + b"1;", b"x" * 64,
            40 << 20))


class EntryHeadsTest(EntryLimitsTest):
    def test_endless_headers(self):
        """The head had no bound, only each of its lines once it was read."""
        self.assert_within_limits(self.flood(
            8, self.head()[:-2], HEADER, 16 << 20))


class EntryBodiesTest(EntryLimitsTest):
    def test_endless_chunks(self):
        """Chunked bodies had no bound; those with a Content-Length have."""
        self.assert_within_limits(self.flood(
            8, self.head("Transfer-Encoding: chunked"),
            b"8000\r\n" + b"x" * 0x8000 + b"\r\n", 40 << 20))

    def test_partly_sent_bodies(self):
        """Bodies within the limit, held by many connections at once."""
        self.assert_within_limits(self.flood(
            60, self.head("Content-Length: 8388608"), b"x" * 1000, 8000000))


class EntryCompressedTest(EntryLimitsTest):
    def test_compressed_bodies(self):
        """A small compressed body must not grow without a bound."""
        data = gzip.compress(bytes(128 << 20))
        head = self.head("Content-Encoding: gzip",
                         f"Content-Length: {len(data)}")
        self.assert_within_limits(self.flood(4, head + data))


class EntryConnectionsTest(EntryLimitsTest):
    def test_many_connections(self):
        """Connections waited for a thread without a bound on their number."""
        self.assert_within_limits(self.flood(1500, b"P"))

    def test_answers_that_nobody_reads(self):
        """A thread must not wait for long for a client that reads nothing."""
        call = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assert_within_limits(self.flood(150, call, call, 40000))


class EntryAllAtOnceTest(EntryLimitsTest):
    def test_all_at_once(self):
        chunked = self.head("Transfer-Encoding: chunked")
        self.assert_within_limits(
            self.flood(4, chunked + b"0\r\n", HEADER, 16 << 20),
            self.flood(4, chunked + b"1;", b"x" * 64, 40 << 20),
            self.flood(4, self.head()[:-2], HEADER, 16 << 20),
            self.flood(20, self.head("Content-Length: 8388608"), b"x" * 1000,
                       8000000),
            self.flood(400, b"P"))


if __name__ == "__main__":
    unittest.main()
