"""Applies each mutation to a copy of the tree and expects a test to go red."""

import argparse
import json
import os
import shutil
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def run(command, cwd, environment=None):
    return subprocess.run(
        command, cwd=cwd, env=environment, stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT, check=False,
    )


def known_red():
    """Names of the tests that fail without a mutation."""
    with open(os.path.join(ROOT, "KNOWN-RED.txt"), encoding="utf-8") as listed:
        return [line.split()[1] for line in listed if line.startswith("test: ")]


def try_mutation(mutation, copy, seeds):
    """Returns "killed", "survived" or why it could not be tried."""
    path = os.path.join(copy, mutation["file"])
    with open(path, encoding="utf-8") as source:
        text = source.read()
    if text.count(mutation["from"]) != 1:
        return "does not apply: its text stands " + str(
            text.count(mutation["from"])
        ) + " times"
    with open(path, "w", encoding="utf-8") as out:
        out.write(text.replace(mutation["from"], mutation["to"]))
    try:
        programs = mutation.get("tests", ["ControlTests", "ModelTests"])
        build = run(["ninja", "-C", "build", *programs], copy)
        if build.returncode != 0:
            return "does not compile"
        environment = dict(os.environ, BASILUSHER_SEEDS=str(seeds))
        quick = "--gtest_filter=-Steps*:RandomFaults*"
        commands = [["ModelTests"], ["ControlTests", quick], ["ControlTests"]]
        if "tests" in mutation:
            # Otherwise they would kill every mutation.
            but_red = "--gtest_filter=-" + ":".join(known_red())
            commands = [[program, but_red] for program in programs]
        for command in commands:
            test = run(
                ["build/unittests/" + command[0], "--gtest_brief=1",
                 *command[1:]],
                copy, environment,
            )
            if test.returncode != 0:
                return "killed"
        return "survived"
    finally:
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--copy", required=True, help="scratch directory")
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--only", default="", help="part of a mutation's name")
    parser.add_argument("--tests", default="",
                        help="only mutations that this test program kills")
    arguments = parser.parse_args()
    shutil.copytree(
        ROOT, arguments.copy, dirs_exist_ok=True,
        ignore=shutil.ignore_patterns("build*", ".git"),
    )
    run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja"], arguments.copy)
    with open(os.path.join(ROOT, "utils", "mutations.json"),
              encoding="utf-8") as source:
        mutations = json.load(source)
    survived = 0
    for mutation in mutations:
        if arguments.only not in mutation["name"]:
            continue
        if arguments.tests and arguments.tests not in mutation.get("tests", []):
            continue
        result = try_mutation(mutation, arguments.copy, arguments.seeds)
        survived += result != "killed"
        print(f"{result:10} {mutation['promise']}: {mutation['name']}",
              flush=True)
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    main()
