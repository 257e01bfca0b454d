"""Fault soak: the nodes and stand-ins of workers and platform as processes,
random troubles by seed, and checks from the workers' own records."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "soak", "standins"))
