"""A proxy in front of one worker, to cut it off from the nodes."""

import socket
import threading


class Proxy:
    """Passes connections on to a worker; while it is cut, nothing passes and
    nothing is closed."""

    def __init__(self, address, backend):
        self.backend = backend
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

    def _connect(self, near):
        self.open.wait()
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
            threading.Thread(target=self._pass, args=(source, target),
                             daemon=True).start()

    def _pass(self, source, target):
        try:
            while True:
                data = source.recv(65536)
                self.open.wait()
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
