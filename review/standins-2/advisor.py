"""Stand-in for the placement advisor, as PROTOCOL ("advise") describes it: one
call at a time for each calling machine, in turn; 429 when 32 calls wait. Each
node has an address of the advisor of its own, by which its calls are told
apart."""

import collections
import http.server
import json
import socket
import threading
import time

MAX_WAITING = 32


class Line:
    """The calls of one machine, in turn."""

    def __init__(self):
        self.cond = threading.Condition()
        self.waiting = collections.deque()

    def enter(self):
        """Returns when it is this call's turn; None if too many wait."""
        me = object()
        with self.cond:
            if len(self.waiting) > MAX_WAITING:
                return None
            self.waiting.append(me)
            while self.waiting[0] is not me:
                self.cond.wait()
        return me

    def leave(self, me):
        with self.cond:
            assert self.waiting.popleft() is me
            self.cond.notify_all()


class Advisor:
    """Allows every worker to run every step."""

    def __init__(self, ips, decide_ms, period_ms, note):
        self.decide_ms = decide_ms
        self.period_ms = period_ms
        self.note = note
        self.addresses = [self.listen(ip) for ip in ips]

    def listen(self, ip):
        advisor, line = self, Line()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _answer(self, status, body):
                data = json.dumps(body).encode()
                head = (f"HTTP/1.1 {status} X\r\n"
                        "Content-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n").encode()
                try:
                    self.wfile.write(head + data)
                except OSError:
                    self.close_connection = True
                    return False
                return True

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                began = time.monotonic()
                me = line.enter()
                if me is None:
                    advisor.note("advisor", "refused, 32 calls wait",
                                 step=body["Step"], machine=ip)
                    return self._answer(429, {})
                waited = time.monotonic() - began
                time.sleep((advisor.decide_ms + advisor.period_ms
                            * len(body["Workers"])) / 1000)
                line.leave(me)
                rows = [[worker, f"t-{worker}-{body['Step']}"]
                        for worker in body["Workers"]]
                sent = self._answer(200, {"Allowed": rows})
                advisor.note("advisor", "answered", step=body["Step"],
                             machine=ip, workers=len(rows),
                             waited_ms=int(waited * 1000),
                             took_ms=int((time.monotonic() - began) * 1000),
                             sent=sent)

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

        server = Server((ip, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"{ip}:{server.server_port}"
