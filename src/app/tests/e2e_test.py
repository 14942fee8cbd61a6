"""End-to-end tests: the real processes, and failures caused on purpose.

Each test starts a stand-in platform, two gateways and four schedulers in two
zones. CAROBMAST_PROGRAMS names the folder with the programs. The verdict on
work comes from the workers' own record of what ran when.
"""

import http.client
import json
import os
import pathlib
import signal
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True

from cluster import (
    Cluster,
    Failure,
    call,
    check_capacity,
    check_finished_once,
    check_one_place,
    try_call,
    wait_for,
)

FOLDER = pathlib.Path(__file__).resolve().parent
SET_FILE = FOLDER / "e2e_set.yaml"
ZONES = ["zg-a", "zg-b"]
INSTANCES = 4
REPLICAS = 3
RECONCILIATION_TASKS = 6
EXTRACT_TASKS = 4
LEASE_SECONDS = 6
WORK_SETTINGS = {
    "lease": f"{LEASE_SECONDS}s",
    "renew_every": "1s",
    "suspect_after": "3s",
    "gone_after": "2s",
}
# Exit codes of the commands.
REFUSED = 1
PLATFORM_OUT = 3


class EndToEndCase(unittest.TestCase):
    """A cluster for each test, and what the tests ask of it."""

    rack_size = 4

    def setUp(self):
        self.cluster = Cluster(
            os.environ["CAROBMAST_PROGRAMS"],
            ZONES,
            "e2e-workers",
            workers=8,
            rack_size=self.rack_size,
            gateways=2,
            schedulers=4,
            work=WORK_SETTINGS,
        )
        self.addCleanup(self.close)
        self.cluster.start_daemons()
        self.cluster.run("publish", SET_FILE, "--log", self.cluster.platform)
        self.cluster.wait_ready()
        wait_for("services and standing workers run", self.all_run)

    def close(self):
        outcome = self._outcome.result
        failed = [test for test, _ in outcome.errors + outcome.failures if test is self]
        self.cluster.close(keep=bool(failed))

    # What runs now.

    def running(self, kind):
        return [
            execution
            for execution in self.cluster.executions()
            if execution["kind"] == kind and execution["to_ms"] is None
        ]

    def all_run(self):
        return (
            len(self.running("service")) == INSTANCES
            and len(self.running("standing")) == REPLICAS
        )

    def ask(self, gateway="gateway-1", method="GET", path="/portal/check?ms=10", **arguments):
        return call(self.cluster.callers(gateway), method, path, **arguments)

    def answers(self, gateway="gateway-1"):
        answer = try_call(self.cluster.callers(gateway), "GET", "/portal/check?ms=10")
        return answer is not None and answer[0] == 200

    def wait_answers(self):
        for gateway in self.cluster.names("gateway"):
            wait_for(f"{gateway} passes requests on", lambda g=gateway: self.answers(g))

    # Work.

    def submit(self, job):
        output = self.cluster.run(
            "submit", job, "--log", self.cluster.platform, "--output", "json"
        )
        report = json.loads(output)
        self.assertEqual("accepted", report["outcome"])
        return report["id"]

    def finished(self, submission):
        return {
            execution["task"]
            for execution in self.cluster.executions(submission)
            if execution["state"] == "finished"
        }

    def wait_batch_runs(self, submission, tasks=1):
        wait_for(
            f"{tasks} tasks of {submission} run",
            lambda: len([e for e in self.running("batch") if e["task"].startswith(submission)])
            >= tasks,
        )

    def wait_finished(self, submission, tasks):
        wait_for(
            f"{submission} finishes", lambda: len(self.finished(submission)) >= tasks
        )
        wait_for(f"status shows {submission} finished", lambda: self.is_told(submission))
        check_finished_once(self.cluster.executions(submission), tasks)

    def is_told(self, submission):
        for name in self.cluster.names("scheduler"):
            status = self.cluster.status(name) or {}
            for job in status.get("jobs", []):
                if job["submission"] == submission and job["state"] == "finished":
                    return True
        return False

    def check_work(self):
        """What must hold whatever failed: one place at once, within capacity."""
        executions = self.cluster.executions()
        check_one_place([e for e in executions if e["kind"] != "service"])
        check_capacity(executions, 16000, 60_000_000_000)

    def kill(self, name):
        self.cluster.process(name).kill()

    def publish(self, path, *arguments):
        """Publishes a set based on the one in force; returns the report."""
        base = self.cluster.status("scheduler-1")["config"]["in_force"]["offset"]
        output = self.cluster.run(
            "publish", path, "--base", base, "--log", self.cluster.platform,
            "--output", "json", *arguments,
        )
        return json.loads(output)

    def changed_set(self, name, replicas=REPLICAS):
        """The set with other quotas and another number of replicas, as a file."""
        quota = f"quota: {{cpus: {40 + len(name)}"
        text = SET_FILE.read_text().replace("quota: {cpus: 60", quota)
        text = text.replace(f"replicas: {REPLICAS}", f"replicas: {replicas}")
        path = self.cluster.folder / f"{name}.yaml"
        path.write_text(text)
        return path

    def check_paused_worker_is_replaced(self):
        victim = self.running("standing")[0]
        self.cluster.fault("worker_paused", worker=victim["worker"])
        wait_for(
            "its standing task runs elsewhere",
            lambda: any(
                e["task"] == victim["task"] and e["worker"] != victim["worker"]
                for e in self.running("standing")
            ),
        )
        self.cluster.clear()
        wait_for("services and standing workers run", self.all_run)
        time.sleep(LEASE_SECONDS)
        self.assertTrue(self.all_run())
        self.check_work()


class EndToEndTest(EndToEndCase):
    def test_stopping_gateway_answers_requests_in_flight(self):
        self.wait_answers()
        answers = []

        def ask_slowly():
            answers.append(
                self.ask(path="/portal/import?ms=2000", headers={"x-request-id": "slow"}, seconds=30)
            )

        caller = threading.Thread(target=ask_slowly)
        caller.start()
        wait_for("it is in flight", lambda: "slow" in self.cluster.request_runs())
        self.assertEqual(0, self.cluster.stop("gateway-1"))
        caller.join()
        self.assertEqual(200, answers[0][0])
        self.assertEqual("slow", json.loads(answers[0][2])["request_id"])
        self.assertTrue(self.answers("gateway-2"))

    def test_killed_scheduler_is_replaced(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        before = {e["task"] for e in self.running("standing")}
        for name in ("scheduler-1", "scheduler-2"):
            self.kill(name)
            self.cluster.start_daemon(name)
        self.wait_finished(submission, RECONCILIATION_TASKS)
        self.check_work()
        self.assertEqual(before, {e["task"] for e in self.running("standing")})

    def test_killed_scheduler_without_replacement(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        self.kill("scheduler-1")
        self.kill("scheduler-2")
        self.wait_finished(submission, RECONCILIATION_TASKS)
        wait_for("services and standing workers run", self.all_run)
        self.check_work()

    def test_all_entry_processes_replaced_at_once(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        standing = self.cluster.executions("claims-watcher")
        for name in self.cluster.daemons:
            self.cluster.process(name).send(signal.SIGKILL)
        for name in self.cluster.daemons:
            self.kill(name)
        self.cluster.start_daemons()
        self.cluster.wait_ready()
        self.wait_answers()
        self.wait_finished(submission, RECONCILIATION_TASKS)
        self.check_work()
        self.assertEqual(
            len(standing),
            len(self.cluster.executions("claims-watcher")),
            "standing workers are adopted, not restarted",
        )

    def test_paused_scheduler_returns_as_zombie(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        self.cluster.process("scheduler-1").send(signal.SIGSTOP)
        time.sleep(LEASE_SECONDS * 2)
        self.cluster.process("scheduler-1").send(signal.SIGCONT)
        self.wait_finished(submission, RECONCILIATION_TASKS)
        wait_for("services and standing workers run", self.all_run)
        time.sleep(LEASE_SECONDS)
        self.assertTrue(self.all_run())
        self.check_work()

    def test_log_outage_refuses_submissions_and_stops_nothing(self):
        self.wait_answers()
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 1)
        running = {(e["task"], e["attempt"]) for e in self.running("standing")}
        self.cluster.fault("log_out")
        code, output, errors = self.cluster.command(
            "submit", "extract", "--timeout", "2s", "--log", self.cluster.platform,
            "--output", "json",
        )
        self.assertEqual(PLATFORM_OUT, code, output + errors)
        self.assertEqual("not accepted", json.loads(output)["outcome"])
        refused = json.loads(output)["id"]
        time.sleep(LEASE_SECONDS * 2)
        self.assertTrue(self.answers())
        self.assertEqual(running, {(e["task"], e["attempt"]) for e in self.running("standing")})
        self.cluster.clear()
        self.wait_finished(submission, RECONCILIATION_TASKS)
        later = self.submit("extract")
        self.wait_finished(later, EXTRACT_TASKS)
        self.assertEqual([], self.cluster.executions(refused))
        self.check_work()

    def test_lost_append_answers_publish_and_submit_once(self):
        for kind in ("log_lost_answers", "log_lost_requests"):
            changed = self.changed_set(kind)
            self.cluster.fault(kind, count=1)
            report = self.publish(changed)
            self.assertEqual("published", report["outcome"])
            ids = [record["id"] for record in self.cluster.log("config")]
            self.assertEqual(1, ids.count(report["id"]), ids)
        # Schedulers append as well: the fault may hit one of their records.
        for kind in ("log_lost_answers", "log_lost_requests"):
            self.cluster.fault(kind, count=1)
            submission = self.submit("extract")
            self.wait_finished(submission, EXTRACT_TASKS)
        self.check_work()

    def test_repeated_submission_is_accepted_once(self):
        for _ in range(2):
            self.cluster.run("submit", "extract", "--id", "once", "--log", self.cluster.platform)
        self.wait_finished("once", EXTRACT_TASKS)
        time.sleep(2)
        check_finished_once(self.cluster.executions("once"), EXTRACT_TASKS)

    def test_worker_paused_beyond_its_lease_returns(self):
        self.check_paused_worker_is_replaced()

    def test_lost_worker_is_replaced(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, RECONCILIATION_TASKS)
        victim = self.running("standing")[0]["worker"]
        self.cluster.fault("vm_gone", worker=victim)
        self.wait_finished(submission, RECONCILIATION_TASKS)
        wait_for("services and standing workers run", self.all_run)
        self.check_work()
        self.wait_answers()

    def test_leaving_worker_is_emptied(self):
        victim = self.running("standing")[0]["worker"]
        self.cluster.fault("vm_leaving", worker=victim)
        wait_for(
            "it is emptied",
            lambda: not any(
                e["worker"] == victim and e["to_ms"] is None for e in self.cluster.executions()
            ),
        )
        wait_for("services and standing workers run", self.all_run)
        submission = self.submit("extract")
        self.wait_finished(submission, EXTRACT_TASKS)
        self.assertNotIn(victim, {e["worker"] for e in self.cluster.executions(submission)})
        self.check_work()

    def test_lost_worker_answers_start_nothing_twice(self):
        self.cluster.fault("worker_lost_answers", count=2)
        first = self.submit("extract")
        self.wait_finished(first, EXTRACT_TASKS)
        self.cluster.fault("worker_lost_requests", count=2)
        second = self.submit("extract")
        self.wait_finished(second, EXTRACT_TASKS)
        self.check_work()

    def test_answer_cut_short_is_an_error(self):
        self.wait_answers()
        self.cluster.fault("target_cut", bytes=150)
        for method, request_id in (("GET", "cut-get"), ("POST", "cut-post")):
            try:
                status, _, body = self.ask(
                    method=method,
                    path="/portal/check?ms=1",
                    body="x" * 200 if method == "POST" else None,
                    headers={"x-request-id": request_id},
                )
                self.assertGreaterEqual(status, 500, body)
            except (http.client.HTTPException, OSError):
                pass  # A broken connection tells the caller as well.
        self.assertEqual(1, self.cluster.request_runs()["cut-post"])
        self.cluster.clear()
        self.wait_answers()

    def test_refusal_by_the_target_is_told_as_not_run(self):
        self.wait_answers()
        self.cluster.fault("target_refusing")
        status, headers, _ = self.ask(
            method="POST", body="x", headers={"x-request-id": "refused"}
        )
        self.assertGreaterEqual(status, 429)
        self.assertEqual("no", headers.get("carobmast-ran"))
        self.assertNotIn("refused", self.cluster.request_runs())
        self.cluster.clear()
        self.wait_answers()

    def test_every_answer_belongs_to_its_request(self):
        self.wait_answers()
        wrong = []

        def ask_many(caller):
            gateway = self.cluster.names("gateway")[caller % 2]
            for number in range(20):
                request_id = f"own-{caller}-{number}"
                body = request_id * (1 + number * 50)
                answer = self.ask(
                    gateway, "POST", f"/portal/check?ms={(caller * 7 + number * 3) % 40}",
                    body=body, headers={"x-request-id": request_id}, seconds=30,
                )
                echo = json.loads(answer[2]) if answer[0] == 200 else {}
                if echo.get("request_id") != request_id or echo.get("body") != body:
                    wrong.append((request_id, answer[0], answer[2][:200]))

        callers = [threading.Thread(target=ask_many, args=(n,)) for n in range(16)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual([], wrong[:3])
        runs = self.cluster.request_runs()
        self.assertEqual([], [i for i, n in runs.items() if i.startswith("own-") and n != 1])

    def test_published_set_reaches_all_processes(self):
        report = self.publish(
            self.changed_set("more", replicas=5),
            "--wait", "--scheduler", self.cluster.operator("scheduler-1"),
        )
        self.assertTrue(report["rollout"]["complete"], report)
        wait_for("the new replicas run", lambda: len(self.running("standing")) == 5)
        offset = report["in_force"]["offset"]
        for name in self.cluster.names("scheduler"):
            self.assertEqual(offset, self.cluster.status(name)["config"]["in_force"]["offset"])
        code, output, errors = self.cluster.command(
            "publish", SET_FILE, "--base", "1", "--log", self.cluster.platform
        )
        self.assertEqual(REFUSED, code, output + errors)
        self.publish(SET_FILE)
        wait_for("the replicas that are gone are stopped", self.all_run)
        self.check_work()

    def test_restarted_gateway_takes_the_set_from_its_peer(self):
        self.wait_answers()
        self.cluster.fault("log_out")
        self.kill("gateway-1")
        self.cluster.start_daemon("gateway-1")
        self.cluster.wait_ready(["gateway-1"])
        wait_for("it passes requests on", self.answers)

    def test_gateway_without_log_and_peers_serves_nothing(self):
        self.cluster.fault("log_out")
        for name in self.cluster.daemons:
            self.kill(name)
        self.cluster.start_daemon("gateway-1")
        time.sleep(3)
        self.assertFalse(self.cluster.is_ready("gateway-1"))
        answer = try_call(self.cluster.callers("gateway-1"), "GET", "/portal/check")
        self.assertTrue(answer is None or answer[0] >= 400, answer)

    def test_slow_log_delays_and_loses_nothing(self):
        self.cluster.fault("log_slow", delay="800ms")
        submission = self.submit("extract")
        self.wait_finished(submission, EXTRACT_TASKS)
        self.assertTrue(self.all_run())
        self.check_work()

    def test_stopped_schedulers_hand_over_without_ending_tasks(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        before = {(e["task"], e["attempt"]) for e in self.running("standing")}
        self.assertEqual(0, self.cluster.stop("scheduler-1"))
        self.assertEqual(0, self.cluster.stop("scheduler-2"))
        self.wait_finished(submission, RECONCILIATION_TASKS)
        self.assertEqual(before, {(e["task"], e["attempt"]) for e in self.running("standing")})
        self.check_work()


class SmallCellTest(EndToEndCase):
    """Cells of two workers: one that is out of reach is half of its cell."""

    rack_size = 2

    def test_paused_half_of_a_cell_is_replaced(self):
        self.check_paused_worker_is_replaced()


if __name__ == "__main__":
    unittest.main()
