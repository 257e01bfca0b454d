"""Checks what callers saw against the workers' own record."""

import collections

MILLIS = 1000


def _runs_by_tag(worker_records):
    runs = collections.defaultdict(list)
    for record in worker_records:
        for run in record["runs"]:
            runs[run["tag"]].append(run)
    return runs


def _peak(runs):
    """Most runs at once, from their start and end times."""
    events = []
    for run in runs:
        end = run["finished_micros"] if run["finished"] else float("inf")
        events.append((run["started_micros"], 1))
        events.append((end, -1))
    peak = running = 0
    for _, step in sorted(events, key=lambda event: (event[0], event[1])):
        running += step
        peak = max(peak, running)
    return peak


def check(load_records, worker_records, teams):
    """Returns a list of broken promises, one line each; empty if all hold."""
    broken = []
    runs = _runs_by_tag(worker_records)
    submissions = collections.defaultdict(list)
    for record in load_records:
        submissions[record["tag"]].append(record)
        if not record["own_answer"]:
            broken.append(f"crossed or partial answer: {record['tag']}")
        if record["outcome"] not in (
            "ran",
            "not-run",
            "unknown",
            "cut",
            "unreached",
        ):
            broken.append(f"no outcome: {record}")
    for tag, records in submissions.items():
        outcomes = {record["outcome"] for record in records}
        count = len(runs[tag])
        if "ran" in outcomes and count == 0:
            broken.append(f"answered but never run: {tag}")
        if outcomes <= {"not-run", "unreached"} and count > 0:
            broken.append(f"\"not run\" but run {count} times: {tag}")
        if not records[0]["idempotent"] and count > 1:
            broken.append(f"non-idempotent request run {count} times: {tag}")
    by_team = collections.defaultdict(list)
    for record in worker_records:
        if record["peak"] > 8:
            broken.append(f"{record['worker']}: {record['peak']} slots in use")
        for run in record["runs"]:
            by_team[run["team"]].append(run)
    for team, team_runs in by_team.items():
        peak = _peak(team_runs)
        if team in teams and peak > teams[team]["limit"]:
            broken.append(f"team {team}: {peak} at once over its limit")
    return broken


def quantile(values, part):
    """The value below which `part` of the sorted `values` lie."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def outcome_table(load_records):
    """Rows (queue, outcome, code, count, p50 ms, p99 ms)."""
    groups = collections.defaultdict(list)
    for record in load_records:
        key = (record["queue"], record["outcome"], record["code"])
        groups[key].append(record["latency_micros"] / MILLIS)
    return [
        (*key, len(times), quantile(times, 0.5), quantile(times, 0.99))
        for key, times in sorted(groups.items())
    ]
