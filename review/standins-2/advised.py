"""A deployment whose nodes ask a placement advisor."""

import json
import os

import harness
from advisor import Advisor


class AdvisedDeployment(harness.Deployment):
    """Each node calls the advisor at an address of its own."""

    def __init__(self, nodes, workers, decide_ms, period_ms, **options):
        super().__init__(nodes=nodes, workers=workers, **options)
        self.advisor = Advisor([f"{self.net}.7.{n + 1}" for n in range(nodes)],
                               decide_ms, period_ms, self.note)

    def start_node(self, n):
        super().start_node(n)
        # The harness names no advisor; a node reads its settings again within
        # seconds, before the traffic starts.
        path = os.path.join(self.folder, self.node_names[n] + ".json")
        with open(path, encoding="utf-8") as text:
            settings = json.load(text)
        settings["Advice"] = self.advisor.addresses[n]
        with open(path + ".new", "w", encoding="utf-8") as out:
            json.dump(settings, out)
        os.replace(path + ".new", path)


def advised_route(name, prefix, decide_ms, period_ms, valid_ms):
    return {**harness.route(name, prefix),
            "Advice": {"DecideMs": decide_ms, "PeriodMs": period_ms,
                       "ValidMs": valid_ms}}
