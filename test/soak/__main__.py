"""Plays the fault soak by hand; see --help."""

import argparse
import os
import subprocess
import sys
import time

from .story import SILENT_KINDS, StoryOptions


def parse():
    parser = argparse.ArgumentParser(
        prog="python3 -m soak", description=__doc__,
        epilog="Run it in test/. BASILUSHER_BUILD names the build folder. "
        "Exits with 1 if a rule was broken.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1,
                        help="how many seeds to play")
    parser.add_argument("--minutes", type=float, default=0,
                        help="play further seeds until so much time has passed")
    parser.add_argument("--seconds", type=float, default=40,
                        help="length of the troubles of one play")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--workers", type=int, default=9)
    parser.add_argument("--kinds", default="",
                        help="kinds of trouble, with commas; all if not given")
    parser.add_argument("--story", action="store_true",
                        help="the owner stops at the begin of an outage and a "
                        "worker falls silent, in place of random troubles")
    parser.add_argument("--silent", choices=SILENT_KINDS,
                        help="how the worker of a story falls silent")
    parser.add_argument("--outage", type=float, metavar="SECONDS",
                        help="length of the outage of a story")
    parser.add_argument("--away", type=float, metavar="SECONDS",
                        help="how long the stopped owner of a story is away")
    parser.add_argument("--how", choices=("stop", "kill"),
                        help="how the owner of a story ends; what is not given "
                        "is drawn from the seed")
    parser.add_argument("--evacuate", action="store_true",
                        help="the operator evacuates zones beside the random "
                        "troubles")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keeps the records of plays that broke a rule")
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    return parser.parse_args()


def story_of(arguments):
    if not arguments.story:
        return None
    return StoryOptions(
        silent=arguments.silent, outage_s=arguments.outage,
        away_s=arguments.away,
        kill=None if arguments.how is None else arguments.how == "kill")


def play_one(arguments):
    from .play import Options, play
    result = play(Options(
        seed=arguments.seed, seconds=arguments.seconds, nodes=arguments.nodes,
        workers=arguments.workers, keep=arguments.keep,
        kinds=tuple(filter(None, arguments.kinds.split(","))),
        story=story_of(arguments), evacuate=arguments.evacuate))
    print(f"seed {arguments.seed}: {result.starts} starts, "
          f"{len(result.violations)} broken, {result.waits}", flush=True)
    for violation in result.violations[:20]:
        print(f"  {violation}")
    return 1 if result.violations else 0


def play_many(arguments):
    """Each seed in a process of its own."""
    until = time.monotonic() + 60 * arguments.minutes
    seed, broken = arguments.seed, []
    rest = [f"--{name}={getattr(arguments, name)}"
            for name in ("seconds", "nodes", "workers", "kinds", "keep",
                         "silent", "outage", "away", "how")
            if getattr(arguments, name)]
    if arguments.story:
        rest.append("--story")
    if arguments.evacuate:
        rest.append("--evacuate")
    while (seed < arguments.seed + arguments.seeds
           or time.monotonic() < until):
        code = subprocess.run([sys.executable, "-m", "soak", "--one",
                               f"--seed={seed}", *rest], check=False,
                              cwd=os.path.dirname(os.path.dirname(
                                  os.path.abspath(__file__)))).returncode
        if code != 0:
            broken.append(seed)
        seed += 1
    print(f"seeds {arguments.seed} to {seed - 1}: broken or not played: "
          f"{broken or 'none'}")
    return 1 if broken else 0


def main():
    arguments = parse()
    if arguments.one:
        return play_one(arguments)
    return play_many(arguments)


if __name__ == "__main__":
    sys.exit(main())
