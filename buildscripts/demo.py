"""Runs an end-to-end demo with separate processes on loopback addresses.

Usage: demo.py FOLDER_WITH_PROGRAMS
Prints each step. Ends with "demo: ok" and exit code 0, or with the failed step and
exit code 1.
"""

import json
import pathlib
import signal
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "src" / "app" / "tests"))

from cluster import (  # noqa: E402  (needs the path set above)
    Cluster,
    Failure,
    call,
    check_finished_once,
    check_one_place,
    try_call,
    wait_for,
)

EXAMPLE = ROOT / "examples" / "zagreb.yaml"
ZONES = ["zg-a", "zg-b", "zg-c"]
SERVICE = "bordero-portal"
INSTANCES = 48
JOB = "ledger-extract"
JOB_TASKS = 4
STANDING_TASKS = 18
SLOW_REQUEST = f"/{SERVICE}/treaty-import?ms=1500"
SLOW_ID = "demo-in-flight"


def start_platform(programs):
    cluster = Cluster(programs, ZONES, "zagreb-workers", workers=48, rack_size=8)
    print(f"1. stand-in platform at {cluster.platform}: 48 workers in {', '.join(ZONES)}")
    return cluster


def start_daemons(cluster):
    cluster.start_daemons()
    for name, daemon in cluster.daemons.items():
        print(f"3. {name} in {daemon['zone']}, operator port {daemon['operator']}")


def publish(cluster):
    scheduler = cluster.operator("scheduler-1")
    output = cluster.run(
        "publish", EXAMPLE, "--log", cluster.platform,
        "--wait", "--scheduler", scheduler, "--output", "json",
    )
    report = json.loads(output)
    if not report["rollout"]["complete"]:
        raise Failure(f"not in force everywhere: {report['rollout']}")
    cluster.wait_ready()
    print(f"2. published {EXAMPLE.name} at offset {report['in_force']['offset']}; "
          "in force in all 4 processes")


def request(cluster):
    path = f"/{SERVICE}/check?ms=20"
    body = "bordereau line\n" * 1000
    wait_for(
        "an instance answers through gateway-1",
        lambda: (try_call(cluster.callers("gateway-1"), "GET", path) or [0])[0] == 200,
    )
    for gateway in cluster.names("gateway"):
        headers = {"x-request-id": f"demo-{gateway}"}
        status, _, text = call(cluster.callers(gateway), "POST", path, body, headers)
        answer = json.loads(text)
        if status != 200 or answer["body"] != body:
            raise Failure(f"{gateway}: status {status}, {len(text)} bytes")
        if answer["request_id"] != f"demo-{gateway}":
            raise Failure(f"{gateway}: the answer to another request came back")
        print(f"4. POST {path} through {gateway}: whole answer of {len(text)} bytes "
              f"from {answer['instance']}")


def submit(cluster):
    submitted = cluster.run("submit", JOB, "--log", cluster.platform, "--output", "json")
    submission = json.loads(submitted)["id"]
    print(f"5. submitted {JOB} as {submission}")
    wait_for(
        f"status shows {submission} finished",
        lambda: job_state(cluster, submission) == "finished",
    )
    check_finished_once(cluster.executions(submission), JOB_TASKS)
    print(f"5. status: {submission} finished; each of its {JOB_TASKS} tasks ran to its end once")
    wait_for(
        "all standing workers run",
        lambda: running(cluster, "standing") == STANDING_TASKS,
    )
    check_one_place(cluster.executions())
    print(f"5. {STANDING_TASKS} standing tasks and {running(cluster, 'service')} of "
          f"{INSTANCES} instances run, each in one place")


def running(cluster, kind):
    return sum(e["kind"] == kind and e["to_ms"] is None for e in cluster.executions())


def job_state(cluster, submission):
    """Returns the state that a scheduler reports; None while none knows the job."""
    for name in cluster.names("scheduler"):
        status = cluster.status(name) or {}
        for job in status.get("jobs", []):
            if submission in (job.get("submission"), job.get("id")):
                return job.get("state")
    return None


def stop(cluster):
    answers = {}

    def ask():
        answers["slow"] = call(
            cluster.callers("gateway-1"), "GET", SLOW_REQUEST,
            headers={"x-request-id": SLOW_ID}, seconds=20,
        )

    caller = threading.Thread(target=ask)
    caller.start()
    wait_for("the request is in flight", lambda: SLOW_ID in cluster.request_runs())
    for name in cluster.daemons:
        cluster.process(name).send(signal.SIGTERM)
    caller.join()
    if answers.get("slow", [0])[0] != 200:
        raise Failure(f"the request in flight got {answers.get('slow')}")
    print("6. SIGTERM to all: the request in flight was answered whole")
    for name in cluster.daemons:
        code = cluster.process(name).wait()
        if code != 0:
            raise Failure(f"{name} ended with exit code {code}")
    if running(cluster, "standing") != STANDING_TASKS:
        raise Failure("a stopping scheduler ended standing tasks")
    print("6. each process ended with exit code 0; the tasks run on")


def main():
    started = time.monotonic()
    step = "1 (platform)"
    cluster = None
    failed = True
    try:
        cluster = start_platform(sys.argv[1])
        for step, run in (
            ("3 (processes)", start_daemons),
            ("2 (publish)", publish),
            ("4 (request)", request),
            ("5 (work)", submit),
            ("6 (stop)", stop),
        ):
            run(cluster)
        failed = False
    except (Failure, OSError, ValueError, KeyError, subprocess.SubprocessError) as error:
        print(f"demo: failed at step {step}: {error}")
    finally:
        if cluster is not None:
            cluster.close(keep=failed)
    if failed:
        return 1
    print(f"demo took {time.monotonic() - started:.1f} s")
    print("demo: ok")
    return 0


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    sys.exit(main())
