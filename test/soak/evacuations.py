"""The operator's requests to evacuate zones, drawn from a seed."""

import random
import threading
import time

PREFIX = "op/evacuate/"
ZONES = ("zone-1", "zone-2", "zone-3")


class Evacuations:
    """Evacuates one zone, and at times two, for some seconds at a time until
    stop(). `spans` holds each zone with the time of the acknowledgement and
    that of the removal, which is None while the request is in force."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(f"evacuations {seed}")
        self.spans = []
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def begin(self):
        self.thread.start()

    def stop(self):
        """Removes the requests that are in force."""
        self.over.set()
        self.thread.join()

    def run(self):
        while not self.over.wait(self.rng.uniform(2, 6)):
            zones = self.rng.sample(ZONES, 2 if self.rng.random() < 0.2 else 1)
            spans = [self.evacuate(zone) for zone in zones]
            self.over.wait(self.rng.uniform(7, 14))
            for span in spans:
                self.cancel(span)

    def evacuate(self, zone):
        # The store acknowledges nothing while it is silent.
        answers = getattr(self.deployment.platform, "answers", None)
        if answers is not None:
            answers.wait()
        rev = self.deployment.platform.store.write(PREFIX + zone, {})
        if answers is not None:
            answers.wait()
        span = [zone, time.monotonic(), None]
        self.spans.append(span)
        self.deployment.note("operator", "evacuation acknowledged", zone=zone,
                             rev=rev)
        return span

    def cancel(self, span):
        span[2] = time.monotonic()
        self.deployment.platform.store.remove(PREFIX + span[0])
        self.deployment.note("operator", "evacuation cancelled", zone=span[0])
