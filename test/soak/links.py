"""Connections that can be cut for some nodes and not for others."""

import os
import threading

from proxy import Proxy

CUT_CHECK_S = 0.1


def node_of_port(port, processes):
    """Name of the process among `processes` (name: pid) that has the local end
    of the loopback connection from 127.0.0.1:`port`; None if none has."""
    local = f"0100007F:{port:04X}"
    with open("/proc/net/tcp", encoding="ascii") as rows:
        inodes = {f"socket:[{row.split()[9]}]" for row in rows
                  if row.split()[1] == local}
    for name, pid in processes.items():
        folder = f"/proc/{pid}/fd"
        try:
            numbers = os.listdir(folder)
        except OSError:
            continue
        for number in numbers:
            try:
                if os.readlink(os.path.join(folder, number)) in inodes:
                    return name
            except OSError:
                continue
    return None


class Link(Proxy):
    """Way to one process; `cut_for` names the nodes that do not reach it."""

    def __init__(self, address, backend, node_pids):
        self.node_pids = node_pids
        self.sources = {}
        self.changed = threading.Condition()
        self.cut_for = frozenset()
        super().__init__(address, backend)

    def cut(self, nodes):
        with self.changed:
            self.cut_for |= frozenset(nodes)

    def heal(self, nodes):
        with self.changed:
            self.cut_for -= frozenset(nodes)
            self.changed.notify_all()

    def source(self, near):
        """Name of the node that called; None while that is not known."""
        name = self.sources.get(near)
        if name is None:
            try:
                port = near.getpeername()[1]
            except OSError:
                return None
            name = node_of_port(port, self.node_pids())
            self.sources[near] = name
        return name

    def is_cut(self, near):
        # Which node it is matters, and is looked up, only during a cut. A list
        # of connections that changes while it is read may miss one.
        if not self.cut_for:
            return False
        source = self.source(near)
        return source is None or source in self.cut_for

    def await_path(self, near):
        super().await_path(near)
        while self.is_cut(near):
            with self.changed:
                self.changed.wait(CUT_CHECK_S)
