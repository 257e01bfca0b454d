"""Clients outside the limits: many connections that send and do not read, and
what a process holds meanwhile."""

import os
import selectors
import socket
import time

RECEIVE_BUFFER = 4096
PIECE = 65536
# Ends a flood whose connections neither send nor are closed.
STALL_S = 4.0
LONGEST_S = 25.0


class Flood:
    """`count` connections to `address` (host, port); each sends `head`, then
    `block` again and again until `total` bytes were sent. They read nothing
    until close()."""

    def __init__(self, address, count, head, block=b"", total=0):
        self.sockets = []
        self.head = head
        repeats = max(1, PIECE // max(1, len(block)))
        self.piece = block * repeats
        self.total = total if block else 0
        for _ in range(count):
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                  RECEIVE_BUFFER)
            connection.settimeout(5)
            try:
                connection.connect(address)
            except OSError:
                connection.close()
                continue
            connection.setblocking(False)
            self.sockets.append(connection)

    def run(self):
        """Sends until every connection has sent all or is closed. Returns the
        number of bytes sent."""
        selector = selectors.DefaultSelector()
        waiting = {}
        for connection in self.sockets:
            waiting[connection] = [self.head, 0]
            selector.register(connection, selectors.EVENT_WRITE)
        sent = 0
        end = time.monotonic() + LONGEST_S
        while waiting and time.monotonic() < end:
            ready = selector.select(STALL_S)
            if not ready:
                break
            for key, _ in ready:
                connection = key.fileobj
                state = waiting[connection]
                done = False
                try:
                    count = connection.send(state[0])
                    sent += count
                    state[1] += count
                    state[0] = state[0][count:]
                    if not state[0]:
                        done = state[1] >= self.total
                        state[0] = self.piece
                except BlockingIOError:
                    pass
                except OSError:
                    done = True
                if done:
                    selector.unregister(connection)
                    del waiting[connection]
        selector.close()
        return sent

    def close(self):
        for connection in self.sockets:
            connection.close()


def peak_resident_mb(pid):
    """Highest resident memory of a process so far, in MiB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        for line in lines:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise OSError(f"process {pid} has ended")


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))
