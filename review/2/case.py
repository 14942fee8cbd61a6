"""A route is dropped by a configuration and comes back with the next one: see
claim.txt."""

import json
import pathlib
import sys
import time
import types

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import harness  # noqa: E402
from harness import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE  # noqa: E402
import platform_standin  # noqa: E402

JOB = "e" * 16
MAX_ATTEMPTS = 3
GONE_SECONDS = 4
# The first attempt of each task fails 5 s after its start, the next succeeds.
SPEC = {"ms": 5000, "cpu": 1000, "how": "failed"}


def put_config(cluster, version, with_route):
    """Writes the stand-in's configuration with the queue, or with another one."""
    written = []
    recorder = types.SimpleNamespace(put=lambda *record: written.append(record))
    platform_standin.put_config(recorder, version)
    topic, key, config = written[0]
    if not with_route:
        config["routes"][0].update({"name": "other", "path-prefix": "/other/"})
    cluster.record.add(f"the operator writes version {version}, with"
                       f"{'' if with_route else 'out'} the route")
    cluster.store.put(topic, key, config)


def body(make):
    cluster = make(workers=2)
    if not cluster.wait_ready():
        return NOT_RUN
    step = {"count": 4, "cpu": 1000, "mem-mb": 64, "estimate-ms": SPEC["ms"]}
    answer = cluster.call("POST", JOB, json.dumps(
        {"spec": json.dumps(SPEC), "steps": [step]}))
    if answer is None or answer[0] != 200:
        return NOT_RUN
    time.sleep(3)
    if len(cluster.history) != 4:
        return NOT_RUN
    put_config(cluster, 5, with_route=not TROUBLE)
    time.sleep(GONE_SECONDS)
    put_config(cluster, 9, with_route=True)
    time.sleep(BOUNDS["config-apply-ms"] / 1000)
    state = None
    until = time.monotonic() + BOUNDS["finish_s"] + 10
    while time.monotonic() < until:
        time.sleep(0.5)
        state = cluster.call("GET", JOB)
        if state is not None and state[1].get("state") in ("completed", "failed"):
            break
    most = 0
    for task in {run["task"] for run in cluster.history}:
        ends = [run["end_kind"] for run in cluster.history if run["task"] == task]
        cluster.record.add(f"runs of {task} ended: {ends}")
        most = max(most, ends.count("failed"))
    print(f"state {state}; a task has failed {most} times at most, and "
          f"max-attempts is {MAX_ATTEMPTS}")
    if state == (200, {"state": "failed"}) and most < MAX_ATTEMPTS:
        return BROKEN
    return HELD if state == (200, {"state": "completed"}) else NOT_RUN


harness.run_case(FOLDER / "record.txt", body)
