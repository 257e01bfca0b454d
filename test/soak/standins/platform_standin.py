"""Stand-in for the users' platform: its key-value store and its list of
machines, as PROTOCOL describes them. Loopback only."""

import base64
import bisect
import http.server
import json
import socket
import threading
import time
import urllib.parse

ANSWER_S = 0.004
PAGE_ITEMS = 500
HEARTBEATS_UNTIL_EXPIRY = 3
MEMBER_LOST_S = 0.5


class Store:
    """Linearizable store with leases, watches and conditional changes."""

    def __init__(self, heartbeat_s):
        self.cond = threading.Condition()
        self.rev = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.beats = {}
        self.entry_ttl_s = HEARTBEATS_UNTIL_EXPIRY * heartbeat_s
        self.closed = False
        threading.Thread(target=self._expire, daemon=True).start()

    def _put(self, key, value, lease, rev):
        created = self.items[key]["Created"] if key in self.items else rev
        self.items[key] = {"Key": key, "Value": value, "Rev": rev,
                           "Created": created, "Lease": lease}
        self.history.append((rev, dict(self.items[key])))

    def _remove(self, key, rev):
        if self.items.pop(key, None) is not None:
            self.history.append(
                (rev, {"Key": key, "Rev": rev, "Tombstone": True}))

    def _expire(self):
        while not self.closed:
            time.sleep(0.02)
            now = time.monotonic()
            with self.cond:
                ended = [lease for lease, row in self.leases.items()
                         if row["until"] <= now]
                for lease in ended:
                    self._end_lease(lease)
                silent = [key for key, at in self.beats.items()
                          if at + self.entry_ttl_s <= now]
                for key in silent:
                    del self.beats[key]
                    self.rev += 1
                    self._remove(key, self.rev)
                if ended or silent:
                    self.cond.notify_all()

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items()
                if item["Lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._remove(key, self.rev)
        self.cond.notify_all()
        return True

    def write(self, key, document):
        """A change by the operator; returns its revision."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self.cond:
            self.rev += 1
            self._put(key, value, 0, self.rev)
            self.cond.notify_all()
            return self.rev

    def remove(self, key):
        """A removal by the operator or by another writer."""
        with self.cond:
            self.rev += 1
            self._remove(key, self.rev)
            self.cond.notify_all()

    def beat(self, worker, entry):
        """A worker writes its entry. The entry changes when more than Seq
        does."""
        key = "servers/" + worker
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        with self.cond:
            known = self.items.get(key)
            same = False
            if known is not None:
                old = json.loads(base64.b64decode(known["Value"]))
                same = {**old, "Seq": 0, "ClockMs": 0} == {
                    **entry, "Seq": 0, "ClockMs": 0}
            self.beats[key] = time.monotonic()
            if not same:
                self.rev += 1
                self._put(key, value, 0, self.rev)
                self.cond.notify_all()

    def get(self, key):
        with self.cond:
            item = self.items.get(key)
            if item is None:
                return 404, {}
            return 200, {**item, "CurrentRev": self.rev}

    def list(self, prefix, after):
        with self.cond:
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {"items": page, "HasMore": len(keys) > PAGE_ITEMS,
                         "CurrentRev": self.rev}

    def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        with self.cond:
            while True:
                first = bisect.bisect_right(self.history, after,
                                            key=lambda row: row[0])
                events = [event for _, event in self.history[first:]
                          if event["Key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0 or self.closed:
                    return 200, {"events": events, "CurrentRev": self.rev}
                self.cond.wait(left)

    def txn(self, body):
        with self.cond:
            rows = body.get("Expect") or []
            held = all(self.items.get(row["Key"], {"Rev": 0})["Rev"]
                       == row["Rev"] for row in rows)
            if not held:
                items = [self.items.get(row["Key"],
                                        {"Key": row["Key"], "Rev": 0})
                         for row in rows]
                return 412, {"items": items}
            writes = body.get("SetKeys") or []
            removals = body.get("Remove") or []
            keys = [row["Key"] for row in writes] + removals
            if any(key.startswith(("op/", "servers/")) for key in keys):
                return 403, {}
            if any(row.get("Lease", 0) not in self.leases
                   for row in writes if row.get("Lease", 0) != 0):
                return 404, {}
            self.rev += 1
            for row in writes:
                self._put(row["Key"], row["Value"], row.get("Lease", 0),
                          self.rev)
            for key in removals:
                self._remove(key, self.rev)
            self.cond.notify_all()
            return 200, {"Rev": self.rev}

    def grant(self, ttl_ms):
        with self.cond:
            self.next_lease += 1
            self.leases[self.next_lease] = {
                "ttl": ttl_ms, "until": time.monotonic() + ttl_ms / 1000}
            return 200, {"Lease": self.next_lease, "TtlMs": ttl_ms}

    def keep(self, lease):
        with self.cond:
            row = self.leases.get(lease)
            if row is None:
                return 404, {}
            row["until"] = time.monotonic() + row["ttl"] / 1000
            return 200, {"TtlMs": row["ttl"]}

    def end(self, lease):
        with self.cond:
            return (200, {}) if self._end_lease(lease) else (404, {})


class Gangs:
    """What the workers' own network tells them: which members of a gang's run
    are present, and whether one has ended."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = {}

    def look(self, body):
        with self.lock:
            run = self.runs.setdefault(
                body["Run"], {"members": {}, "begun": False, "over": False})
            now = time.monotonic()
            run["members"][body["Member"]] = now
            if run["begun"] and any(now - at > MEMBER_LOST_S
                                    for at in run["members"].values()):
                run["over"] = True
            if len(run["members"]) >= body["Count"]:
                run["begun"] = True
            return 200, {"Begun": run["begun"], "Over": run["over"]}

    def over(self, name):
        with self.lock:
            if name in self.runs:
                self.runs[name]["over"] = True
        return 200, {}


class Platform:
    """Servers of the store and of the list of machines."""

    def __init__(self, ip, heartbeat_s, move):
        self.store = Store(heartbeat_s)
        self.gangs = Gangs()
        self.machines = {}
        self.move = move
        self.fences = {}
        self.order_lock = threading.Lock()
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _answer(self, result):
                status, body = result
                data = json.dumps(body).encode()
                head = (f"HTTP/1.1 {status} X\r\n"
                        "Content-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n").encode()
                try:
                    self.wfile.write(head + data)
                except OSError:
                    self.close_connection = True

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                raw = self.rfile.read(length) if length else b""
                body = json.loads(raw) if raw else {}
                url = urllib.parse.urlsplit(self.path)
                query = {key: values[0] for key, values in
                         urllib.parse.parse_qs(url.query).items()}
                time.sleep(ANSWER_S)
                self._answer(platform.serve(self.command, url.path, query,
                                            body, self.headers))

            do_GET = do_POST = do_DELETE = _serve

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def process_request(self, request, client_address):
                request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                super().process_request(request, client_address)

            def handle_error(self, request, client_address):
                pass

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()

    def serve(self, method, path, query, body, headers):
        store = self.store
        name = path.rsplit("/", 1)[-1]
        if path == "/basilusher/kv-key":
            return store.get(query["Key"])
        if path == "/basilusher/kv-range":
            return store.list(query.get("Prefix", ""), query.get("After", ""))
        if path == "/basilusher/kv-watch":
            return store.watch(query.get("Prefix", ""), int(query["After"]),
                               int(query.get("WaitMs", 0)) / 1000)
        if path == "/basilusher/kv-txn":
            return store.txn(body)
        if path == "/basilusher/kv-lease":
            return store.grant(body["TtlMs"])
        if path.startswith("/basilusher/kv-keep/"):
            return store.keep(int(name))
        if path.startswith("/basilusher/kv-lease-end/"):
            return store.end(int(name))
        if path == "/basilusher/machines":
            return 200, {"Machines": list(self.machines.values()),
                         "NextToken": None}
        if path == "/basilusher/machine-move":
            return self.order_move(body, headers)
        if path == "/basilusher/machine-upkeep":
            # No case announces a wave.
            return 409, {"Reason": "wave"}
        if path == "/standin/beat":
            store.beat(body["Id"], body["Entry"])
            return 200, {}
        if path == "/standin/gang":
            return self.gangs.look(body)
        if path == "/standin/gang-over":
            return self.gangs.over(body["Run"])
        return 404, {}

    def order_move(self, body, headers):
        host, pool = body["HostId"], body["Pool"]
        fence = int(headers["X-Fence-Token"])
        with self.order_lock:
            machine = self.machines.get(host)
            if machine is None:
                return 400, {}
            if fence < self.fences.get(host, 0):
                return 409, {"Reason": "fence"}
            self.fences[host] = fence
            if machine["Pool"] == pool:
                return 200, {}
            if machine["State"] != "up":
                return 409, {"Reason": "busy"}
            self.move(host, pool, headers["X-Lease-Holder"], fence)
            return 200, {}

    def close(self):
        self.store.closed = True
        with self.store.cond:
            self.store.cond.notify_all()
        self.server.shutdown()
        self.server.server_close()
