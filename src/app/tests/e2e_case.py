"""Base class of the end-to-end tests: one cluster of real processes per test.

Each test starts a stand-in platform, two gateways and four schedulers in two
zones. CAROBMAST_PROGRAMS names the folder with the executables. Checks of the
work rely on the executions that the workers recorded, not on what the
schedulers report.
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

TESTS_FOLDER = pathlib.Path(__file__).resolve().parent
SET_FILE = TESTS_FOLDER / "e2e_set.yaml"
ZONES = ["zg-a", "zg-b"]
PORTAL_INSTANCES = 4
WATCHER_REPLICAS = 3
RECONCILIATION_TASKS = 6
EXTRACT_TASKS = 4
QUARTER_CLOSE_TASKS = 2
QUARTER_CLOSE_MS = 12_000
POISON_MAX_ATTEMPTS = 3
# The interval at which the stand-in's tasks write checkpoints.
CHECKPOINT_INTERVAL_MS = 500
# The number of records per stream that the log retains after a test injects
# the `log_records` fault.
RETAINED_RECORDS = 60
LEASE_SECONDS = 6
WORK_SETTINGS = {
    "lease": f"{LEASE_SECONDS}s",
    "renew_every": "1s",
    "suspect_after": "3s",
    "gone_after": "2s",
    "snapshot_every": "5s",
}
# Exit codes of the carobmast commands (cli::ExitCode).
REFUSED = 1
USAGE = 2
PLATFORM_OUT = 3


class EndToEndCase(unittest.TestCase):
    """Starts a cluster for each test and provides the steps that tests share."""

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
        wait_for("services and standing workers run", self.all_running)

    def close(self):
        result = self._outcome.result
        failed = [test for test, _ in result.errors + result.failures if test is self]
        self.cluster.close(keep=bool(failed))

    # Running tasks and requests.

    def running(self, kind):
        """The current executions of a kind: service, standing or batch."""
        return [
            execution
            for execution in self.cluster.executions()
            if execution["kind"] == kind and execution["to_ms"] is None
        ]

    def all_running(self):
        """Whether as many instances and standing workers run as the set asks for."""
        return (
            len(self.running("service")) == PORTAL_INSTANCES
            and len(self.running("standing")) == WATCHER_REPLICAS
        )

    def send_request(
        self, gateway="gateway-1", method="GET", path="/portal/check?ms=10", **arguments
    ):
        return call(self.cluster.callers(gateway), method, path, **arguments)

    def is_serving(self, gateway="gateway-1"):
        """Whether the gateway answers a request to the service with status 200."""
        answer = try_call(self.cluster.callers(gateway), "GET", "/portal/check?ms=10")
        return answer is not None and answer[0] == 200

    def wait_serving(self):
        for gateway in self.cluster.names("gateway"):
            wait_for(f"{gateway} forwards requests", lambda g=gateway: self.is_serving(g))

    # Batch jobs.

    def submit(self, job):
        output = self.cluster.run(
            "submit", job, "--log", self.cluster.platform, "--output", "json"
        )
        report = json.loads(output)
        self.assertEqual("accepted", report["outcome"])
        return report["id"]

    def finished(self, submission):
        """The tasks of the submission that finished."""
        return {
            execution["task"]
            for execution in self.cluster.executions(submission)
            if execution["state"] == "finished"
        }

    def wait_batch_runs(self, submission, tasks=1):
        wait_for(
            f"{tasks} tasks of {submission} run",
            lambda: len(
                [e for e in self.running("batch") if e["task"].startswith(submission + "/")]
            )
            >= tasks,
        )

    def wait_finished(self, submission, tasks):
        wait_for(
            f"{submission} finishes", lambda: len(self.finished(submission)) >= tasks
        )
        wait_for(
            f"status shows {submission} finished",
            lambda: self.status_shows_finished(submission),
        )
        check_finished_once(self.cluster.executions(submission), tasks)

    def status_shows_finished(self, submission):
        return self.job_state(submission) == "finished"

    def job_state(self, submission):
        """The state that the first scheduler listing the job reports, or None."""
        for name in self.cluster.names("scheduler"):
            status = self.cluster.status(name) or {}
            for job in status.get("jobs", []):
                if job["submission"] == submission:
                    return job["state"]
        return None

    def check_invariants(self):
        """Checks what must hold whatever failed.

        No task runs in two places at once, and no worker runs more than its
        capacity.
        """
        executions = self.cluster.executions()
        check_one_place([e for e in executions if e["kind"] != "service"])
        check_capacity(executions, 16000, 60_000_000_000)

    def kill(self, name):
        self.cluster.process(name).kill()

    def publish(self, path, *arguments):
        """Publishes a set based on the one in force; returns the command's report."""
        return self.publish_from("scheduler-1", path, *arguments)

    def publish_from(self, scheduler, path, *arguments):
        """Like publish(), with the set that `scheduler` has in force as the base."""
        base = self.cluster.status(scheduler)["config"]["in_force"]["offset"]
        output = self.cluster.run(
            "publish", path, "--base", base, "--log", self.cluster.platform,
            "--output", "json", *arguments,
        )
        return json.loads(output)

    def write_modified_set(self, name, replicas=WATCHER_REPLICAS):
        """Writes the set with other quotas and `replicas`; returns the path.

        The quota depends on the length of `name`.
        """
        quota = f"quota: {{cpus: {40 + len(name)}"
        text = SET_FILE.read_text().replace("quota: {cpus: 60", quota)
        text = text.replace(f"replicas: {WATCHER_REPLICAS}", f"replicas: {replicas}")
        path = self.cluster.folder / f"{name}.yaml"
        path.write_text(text)
        return path

    def check_paused_worker_is_replaced(self):
        """Pauses a worker beyond its lease: its standing task must move, and must
        not run twice after the worker resumes."""
        victim = self.running("standing")[0]
        self.cluster.inject_fault("worker_paused", worker=victim["worker"])
        wait_for(
            "the standing task of the paused worker runs elsewhere",
            lambda: any(
                e["task"] == victim["task"] and e["worker"] != victim["worker"]
                for e in self.running("standing")
            ),
        )
        self.cluster.clear_faults()
        wait_for("services and standing workers run", self.all_running)
        time.sleep(LEASE_SECONDS)
        self.assertTrue(self.all_running())
        self.check_invariants()
