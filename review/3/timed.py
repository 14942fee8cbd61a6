"""The same fault with a job that runs every 10 s: its record only grows. Run by hand:
python3 review/3/timed.py. Handed in with a start that lies 25 hours back, so that
9,000 occurrences are due at once in place of one after the other."""

import json
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import harness  # noqa: E402
from harness import BROKEN, HELD, NOT_RUN, TROUBLE  # noqa: E402

DUE = 9000 if TROUBLE else 1000
INTERVAL_MS = 10000
SECONDS = 80


def job(milliseconds, cpu, **more):
    step = {"count": 4, "cpu": cpu, "mem-mb": 10, "estimate-ms": milliseconds}
    return json.dumps({"spec": json.dumps({"ms": milliseconds, "cpu": cpu}),
                       "steps": [step, {**step, "depends-on": [0]}], **more})


def body(make):
    cluster = make(workers=10)
    if not cluster.wait_ready():
        return NOT_RUN
    start = int(time.time() * 1000) - DUE * INTERVAL_MS
    timed = job(5, 20, times=DUE + 1000, **{"start-at-ms": start,
                                            "interval-ms": INTERVAL_MS})
    if cluster.call("POST", "d" * 16, timed) != (200, {}):
        return NOT_RUN
    waiting = {}
    for number in range(SECONDS // 5):
        time.sleep(5)
        answer = cluster.call("POST", f"{number:016x}", job(200, 1000))
        if answer is not None and answer[0] == 200:
            waiting[number] = time.monotonic()
        for each in list(waiting):
            if cluster.call("GET", f"{each:016x}") == (200, {"state": "completed"}):
                del waiting[each]
    oldest = min(waiting.values(), default=time.monotonic())
    waited = time.monotonic() - oldest
    print(f"{DUE} occurrences due, {len(cluster.history)} starts; the oldest job of "
          f"two steps of 0.2 s has waited for {waited:.0f} s")
    return BROKEN if waited > 20 else HELD


with tempfile.TemporaryDirectory() as folder:
    harness.run_case(pathlib.Path(folder) / "record.txt", body)
