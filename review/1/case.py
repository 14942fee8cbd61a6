"""More than 500 ends wait on a worker while the store is down: see claim.txt."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import harness  # noqa: E402
from harness import BROKEN, HELD, NOT_RUN, TROUBLE  # noqa: E402

JOB = "a" * 16
TASKS = 1200
SPEC = {"ms": 7000, "spread": 3000, "cpu": 20}
DOWN_SECONDS = 4.5


def started_twice(history):
    """Pairs of runs of one task of which the first ended `done`, was taken note of,
    and was followed by another start; the worker's lease has not lapsed."""
    by_task = {}
    for run in list(history):
        by_task.setdefault(run["task"], []).append(run)
    pairs = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run["start"])
        for first, second in zip(runs, runs[1:]):
            if first["end_kind"] == "done" and first["acknowledged_at"]:
                pairs.append((first, second))
    return pairs


def body(make):
    cluster = make(workers=2)
    if not cluster.wait_ready():
        return NOT_RUN
    step = {"count": TASKS, "cpu": SPEC["cpu"], "mem-mb": 40,
            "estimate-ms": SPEC["ms"]}
    answer = cluster.call("POST", JOB, json.dumps(
        {"spec": json.dumps(SPEC), "steps": [step]}))
    if answer is None or answer[0] != 200:
        return NOT_RUN
    until = time.monotonic() + 20
    while len(cluster.history) < TASKS:
        if time.monotonic() > until:
            return NOT_RUN
        time.sleep(0.05)
    # The first tasks are about to end.
    first = min(run["done_at"] for run in cluster.history)
    time.sleep(max(0, first - time.monotonic()))
    if TROUBLE:
        cluster.record.add("the store answers 503 from here on")
        cluster.store.trouble = "busy"
        time.sleep(DOWN_SECONDS)
        cluster.store.trouble = ""
        cluster.record.add("the store answers again")
    until = time.monotonic() + 40
    state = None
    while time.monotonic() < until and state != (200, {"state": "completed"}):
        time.sleep(0.5)
        state = cluster.call("GET", JOB)
    time.sleep(2)
    if any(run["end_kind"] == "lapsed" for run in cluster.history):
        print("a lease has lapsed: the case says nothing")
        return NOT_RUN
    pairs = started_twice(cluster.history)
    for first, second in pairs:
        cluster.record.add(
            f"TWICE: {first['task']} attempt {first['attempt']} ended done on "
            f"{first['worker']} at {first['end'] - cluster.record.started:.3f} s, "
            f"noted at {first['acknowledged_at'] - cluster.record.started:.3f} s; "
            f"attempt {second['attempt']} started on {second['worker']} at "
            f"{second['start'] - cluster.record.started:.3f} s")
    print(f"{len(cluster.history)} starts of {TASKS} tasks, last state {state}, "
          f"{len(pairs)} started again after a noted end")
    return BROKEN if pairs else HELD


harness.run_case(FOLDER / "record.txt", body)
