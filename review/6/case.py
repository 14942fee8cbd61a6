"""A wave of upkeep is over; then the process that owns the shard is killed. Jobs that
are accepted afterwards are never run. Without the kill they are."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
sys.dont_write_bytecode = True
import fleet as tools  # noqa: E402

JOBS = [f"{number:016x}" for number in range(1, 4)]


def run(case):
    with tools.Fleet(case, nodes=3, minions=6) as fleet:
        fleet.wait_ready()
        step = {"count": 4, "cpu": 1000, "mem-mb": 256, "estimate-ms": 500}
        body = tools.job_body([step], {"ms": 500})
        first = "f" * 16
        fleet.nodes[0].call("POST", tools.PREFIX + first, body)
        fleet.wait("a job before the wave", lambda: fleet.nodes[0].call(
            "GET", tools.PREFIX + first, quiet=True) == (200, {"state": "completed"}),
            15)
        fleet.request_wave(1, list(fleet.cloud.machines), 2)
        fleet.wait("the wave completed", lambda: fleet.wave_state(1) == "completed", 40)
        fleet.record.note("store: status/wave/1 is completed")
        time.sleep(tools.BOUNDS["contact-ms"] / 1000)
        owner = fleet.owner()
        if tools.TROUBLE:
            owner.kill()
            fleet.restart_later(owner)
        # From here on all machines are in touch again.
        time.sleep(tools.RESTART_SECONDS + 2 * tools.BOUNDS["contact-ms"] / 1000)
        others = [node for node in fleet.nodes if node is not owner]
        for index, job in enumerate(JOBS):
            answer = others[index % 2].call("POST", tools.PREFIX + job, body)
            if answer is None or answer[0] != 200:
                raise tools.CannotRun(f"{job} was not accepted: {answer}")
        # finish_s after the end of the traffic, and the 3 s of the rule.
        time.sleep(tools.BOUNDS["finish_s"] + 3)
        missing = []
        for index, job in enumerate(JOBS):
            state = others[index % 2].call("GET", tools.PREFIX + job)
            if state != (200, {"state": "completed"}):
                missing.append(f"{job}: {state}, {len(fleet.runs_of(job))} starts")
        fleet.record.note(f"store: status/wave/1 is {fleet.wave_state(1)}")
        running = sum(len(minion.running) for minion in fleet.minions
                      if not minion.crashed)
        fleet.record.note(f"{running} tasks run on 48 cores")
        if missing and running == 0:
            return ("LOST: accepted, and nothing of them runs 17 s later, with all "
                    "minions free: " + "; ".join(missing))
        return ""


tools.main(FOLDER, run)
