"""See claim.txt."""

import json
import pathlib
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import harness  # noqa: E402

MEMBERS, MAX_ATTEMPTS, WORK_MS = 36, 3, 2300
FAULT_SECONDS = 6.5
JOB = "5c0e7a21d94b36f8"


class GangWorker(harness.Worker):
    """A worker whose tasks belong to a gang: Gangs ends them."""

    unhealthy = False

    def start(self, order, clock, way):
        answer = super().start(order, clock, way)
        run = self.running.get(order["task"])
        if run is not None:
            run["done_at"] = float("inf")
        return answer


class Gangs(threading.Thread):
    """The attempts of gangs. The members work from the moment when all are present and
    end `done` together. An unhealthy worker fails the members that it has as soon as
    they work. When a member has ended otherwise, those that are left end `broken`."""

    def __init__(self, workers, history):
        super().__init__(daemon=True)
        self.workers = {worker.name: worker for worker in workers}
        self.history = history

    def run(self):
        while True:
            time.sleep(0.005)
            attempts = {}
            for run in list(self.history):
                step = run["task"].rsplit(".", 1)[0]
                attempts.setdefault((step, run["attempt"]), []).append(run)
            for runs in attempts.values():
                self.advance(runs)

    def advance(self, runs):
        now = time.monotonic()
        is_broken = any(run["end"] is not None and run["end_kind"] != "done"
                        for run in runs)
        if is_broken:
            self.end_all(runs, "broken")
        elif len(runs) == MEMBERS and all(run["end"] is None for run in runs):
            self.end_all([run for run in runs
                          if self.workers[run["worker"]].unhealthy], "failed")
            if now >= max(run["start"] for run in runs) + WORK_MS / 1000:
                self.end_all(runs, "done")
        elif len(runs) < MEMBERS and now > min(run["start"] for run in runs) + 3:
            self.end_all(runs, "alone")

    def end_all(self, runs, how):
        for run in runs:
            worker = self.workers[run["worker"]]
            with worker.lock:
                if worker.running.get(run["task"]) is run:
                    worker.end(run["task"], how)


def main(record_path):
    case = harness.Case(record_path, worker_class=GangWorker)
    try:
        Gangs(case.workers, case.history).start()
        if harness.TROUBLE:
            case.workers[0].unhealthy = True
            case.record.write(f"{case.workers[0].name} fails what it starts, for "
                              f"{FAULT_SECONDS} s")
        begin = time.monotonic()
        case.submit(JOB, json.dumps({
            "spec": json.dumps({"ms": WORK_MS}),
            "steps": [{"count": MEMBERS, "cpu": 1800, "mem-mb": 3200,
                       "estimate-ms": WORK_MS, "gang": True}]}))
        state = None
        while time.monotonic() < begin + 30:
            if time.monotonic() > begin + FAULT_SECONDS:
                case.workers[0].unhealthy = False
            last, state = state, case.state(JOB)
            if state != last:
                case.record.write(f"GET {JOB} -> {state}")
            if state in ("completed", "failed", "cancelled"):
                break
            time.sleep(0.05)
        time.sleep(0.5)
        case.record.runs(case.history)
        failed = sorted({run["attempt"] for run in case.history
                         if run["end_kind"] == "failed"})
        case.record.write(f"attempts of the gang with an end `failed`: {failed}; "
                          f"max-attempts {MAX_ATTEMPTS}; state {state}")
        if state is None:
            raise RuntimeError("no state was told")
        return state == "completed" or (state == "failed"
                                        and len(failed) >= MAX_ATTEMPTS)
    finally:
        case.close()


# What was sent, answered and run is written there.
harness.run_case(main, FOLDER / "record.txt")
