"""A large job whose progress does not fit into one record: see claim.txt."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import harness  # noqa: E402
from harness import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE  # noqa: E402

SMALL, LARGE = "b" * 16, "a" * 16
TASKS = 9000 if TROUBLE else 2250
# The operators' check: a task's turn has come, and for this long nothing runs.
IDLE_SECONDS = 3


def step(tasks, cpu, mem, milliseconds, **more):
    return {"count": tasks, "cpu": cpu, "mem-mb": mem,
            "estimate-ms": milliseconds, **more}


def job(spec, *steps):
    return json.dumps({"spec": json.dumps(spec), "steps": steps})


def runs_of(cluster, task_prefix):
    return [run for run in list(cluster.history)
            if run["task"].startswith(task_prefix)]


def body(make):
    cluster = make(workers=10)
    if not cluster.wait_ready():
        return NOT_RUN
    small = {"ms": 14000, "cpu": 1000}
    answer = cluster.call("POST", SMALL, job(
        small, step(4, 1000, 64, 14000), step(4, 1000, 64, 14000,
                                               **{"depends-on": [0]})))
    if answer is None or answer[0] != 200:
        return NOT_RUN
    large = {"ms": 8000, "spread": 120000, "cpu": 7, "saves": True}
    answer = cluster.call("POST", LARGE, job(
        large, step(TASKS, 7, 16, 60000, checkpointing=True)))
    if answer is None or answer[0] != 200:
        return NOT_RUN
    until = time.monotonic() + 30
    while [run["end_kind"] for run in runs_of(cluster, SMALL + ".0.0.")] \
            != ["done"] * 4:
        if time.monotonic() > until:
            return NOT_RUN
        time.sleep(0.1)
    # The second step's turn has come. It needs 4 of the 160 cores, and the large
    # job has no more than 63 of them and a quarter of the memory.
    turn = time.monotonic()
    cluster.record.add("the first step of the small job has ended: the turn of "
                       "the second has come")
    while time.monotonic() < turn + 10 * IDLE_SECONDS:
        if runs_of(cluster, SMALL + ".0.1."):
            break
        time.sleep(0.1)
    waited = time.monotonic() - turn
    started = len(runs_of(cluster, SMALL + ".0.1."))
    cluster.record.add(f"{started} tasks of the second step have started after "
                       f"{waited:.1f} s")
    time.sleep(BOUNDS["finish_s"] if started else 0)
    states = [cluster.call("GET", each) for each in (SMALL, LARGE)]
    print(f"{TASKS} tasks in the large job; {started} tasks of the small job's "
          f"second step started after {waited:.1f} s; states {states}; owner "
          f"{cluster.owner().name}; ended processes {cluster.exits()}")
    return HELD if started and waited < IDLE_SECONDS else BROKEN


harness.run_case(FOLDER / "record.txt", body)
