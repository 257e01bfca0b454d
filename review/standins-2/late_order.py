"""A way to one worker on which one order to start gets no answer and is carried
out seconds later, by the process that listens at the worker's address then."""

import socket
import threading
import time

from proxy import Proxy

START = b"POST /basilusher/run-start"


class LateOrders:
    """Keeps the first order to start `task`, on whichever way, for
    `delay_s`."""

    def __init__(self, task, delay_s, note):
        self.task = task.encode()
        self.delay_s = delay_s
        self.note = note
        self.lock = threading.Lock()
        self.host = None
        self.taken = threading.Event()
        self.carried_out = threading.Event()

    def take(self, host, data):
        if (self.delay_s is None or not data.startswith(START)
                or self.task not in data):
            return False
        with self.lock:
            if self.host is not None:
                return False
            self.host = host
        self.note("disruption", "order to start gets no answer", host=host)
        self.taken.set()
        return True


class LateProxy(Proxy):
    def __init__(self, host, address, backend, late):
        self.host = host
        self.late = late
        super().__init__(address, backend)

    def deliver(self, data):
        time.sleep(self.late.delay_s)
        ip, port = self.backend.split(":")
        with socket.create_connection((ip, int(port)), 2) as far:
            far.sendall(data)
            answer = far.recv(65536)
        self.late.note("disruption", "order carried out late", host=self.host,
                       answer=answer.split(b"\r\n", 1)[0].decode())
        self.late.carried_out.set()

    def _pass(self, source, target, near):
        if source is not near:
            return super()._pass(source, target, near)
        try:
            while data := source.recv(65536):
                self.await_path(near)
                if self.late.take(self.host, data):
                    threading.Thread(target=self.deliver, args=(data,),
                                     daemon=True).start()
                    # The connection stays open and silent.
                    continue
                target.sendall(data)
        except OSError:
            pass
        for end in (source, target):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        return None
