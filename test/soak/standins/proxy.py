"""A proxy in front of one worker, to cut it off from the nodes."""

import socket
import threading
import time


class Proxy:
    """Passes connections on to a worker; while it is cut, nothing passes and
    nothing is closed. What passes is late by `delay_s` in each direction."""

    def __init__(self, address, backend):
        self.address = address
        self.backend = backend
        self.delay_s = 0.0
        self.open = threading.Event()
        self.open.set()
        ip, port = address.split(":")
        self.listener = socket.create_server((ip, int(port)), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,),
                             daemon=True).start()

    def await_path(self, near):
        """Returns once something may pass on the connection `near`."""
        del near
        self.open.wait()

    def _connect(self, near):
        self.await_path(near)
        ip, port = self.backend.split(":")
        try:
            far = socket.create_connection((ip, int(port)), 2)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, target in ((near, far), (far, near)):
            threading.Thread(target=self._pass, args=(source, target, near),
                             daemon=True).start()

    def _pass(self, source, target, near):
        try:
            while True:
                data = source.recv(65536)
                self.await_path(near)
                time.sleep(self.delay_s)
                if not data:
                    break
                target.sendall(data)
        except OSError:
            pass
        for end in (source, target):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
