"""What all end-to-end tests share: a cluster of the real processes per test.

Each test starts a stand-in platform, two gateways and four schedulers in two
zones. CAROBMAST_PROGRAMS names the folder with the programs. The verdict on
work comes from the workers' own record of what ran when.
"""

import json
import os
import pathlib
import time
import unittest

from cluster import (
    Cluster,
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
CLOSE_TASKS = 2
CLOSE_MS = 12_000
POISON_ATTEMPTS = 3
# The stand-in's checkpoint interval.
CHECKPOINT_MS = 500
# Records of a stream that are kept where a test makes them expire by count.
KEPT_RECORDS = 60
LEASE_SECONDS = 6
WORK_SETTINGS = {
    "lease": f"{LEASE_SECONDS}s",
    "renew_every": "1s",
    "suspect_after": "3s",
    "gone_after": "2s",
    "snapshot_every": "5s",
}
# Exit codes of the commands.
REFUSED = 1
USAGE = 2
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
            lambda: len([e for e in self.running("batch") if e["task"].startswith(submission + "/")])
            >= tasks,
        )

    def wait_finished(self, submission, tasks):
        wait_for(
            f"{submission} finishes", lambda: len(self.finished(submission)) >= tasks
        )
        wait_for(f"status shows {submission} finished", lambda: self.is_told(submission))
        check_finished_once(self.cluster.executions(submission), tasks)

    def is_told(self, submission):
        return self.job_state(submission) == "finished"

    def job_state(self, submission):
        """As the first scheduler that answers tells; None while none does."""
        for name in self.cluster.names("scheduler"):
            status = self.cluster.status(name) or {}
            for job in status.get("jobs", []):
                if job["submission"] == submission:
                    return job["state"]
        return None

    def check_work(self):
        """What must hold whatever failed: one place at once, within capacity."""
        executions = self.cluster.executions()
        check_one_place([e for e in executions if e["kind"] != "service"])
        check_capacity(executions, 16000, 60_000_000_000)

    def kill(self, name):
        self.cluster.process(name).kill()

    def publish(self, path, *arguments):
        """Publishes a set based on the one in force; returns the report."""
        return self.publish_by("scheduler-1", path, *arguments)

    def publish_by(self, scheduler, path, *arguments):
        """The same, with the word of `scheduler` on what is in force."""
        base = self.cluster.status(scheduler)["config"]["in_force"]["offset"]
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
