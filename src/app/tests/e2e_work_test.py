"""Work: owners, leases, recovery and placement under failures."""

import json
import signal
import sys
import time
import unittest

sys.dont_write_bytecode = True

from cluster import check_finished_once, wait_for
from e2e_case import (
    CHECKPOINT_MS,
    CLOSE_MS,
    CLOSE_TASKS,
    EXTRACT_TASKS,
    KEPT_RECORDS,
    LEASE_SECONDS,
    PLATFORM_OUT,
    POISON_ATTEMPTS,
    RECONCILIATION_TASKS,
    EndToEndCase,
)


class WorkTest(EndToEndCase):
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

    def test_owner_loses_cell_while_worker_reboots(self):
        victim = self.running("standing")[0]["worker"]
        self.cluster.fault("vm_gone", worker=victim)
        self.cluster.fault("vm_back", worker=victim)
        for name in self.cluster.names("scheduler"):
            self.kill(name)
            self.cluster.start_daemon(name)
        wait_for("services and standing workers run", self.all_run)
        time.sleep(LEASE_SECONDS)
        self.assertTrue(self.all_run())
        self.check_work()

    def test_evicted_batch_resumes_from_its_checkpoint(self):
        submission = self.submit("quarter-close")
        self.wait_batch_runs(submission, CLOSE_TASKS)
        time.sleep(2)
        victim = [e for e in self.running("batch") if e["task"].startswith(submission + "/")][0]
        self.cluster.fault("vm_leaving", worker=victim["worker"])
        self.wait_finished(submission, CLOSE_TASKS)
        self.check_resumed(victim["task"])

    def test_batch_of_a_lost_worker_resumes_from_its_checkpoint(self):
        submission = self.submit("quarter-close")
        self.wait_batch_runs(submission, CLOSE_TASKS)
        time.sleep(6)
        victim = [e for e in self.running("batch") if e["task"].startswith(submission + "/")][0]
        self.cluster.fault("vm_gone", worker=victim["worker"])
        self.wait_finished(submission, CLOSE_TASKS)
        # The owner hears of a checkpoint with the next renewal, each second.
        self.check_resumed(victim["task"], lag_ms=3000)

    def check_resumed(self, task, lag_ms=0):
        periods = self.cluster.executions(task)
        self.assertGreater(len(periods), 1, "it was evicted")
        ran_ms = sum(e["to_ms"] - e["from_ms"] for e in periods)
        self.assertLess(ran_ms, CLOSE_MS + CHECKPOINT_MS + lag_ms)
        self.assertGreaterEqual(ran_ms, CLOSE_MS - len(periods))
        self.check_work()

    def test_worker_that_fails_everything_does_not_hold_a_job(self):
        self.cluster.fault("worker_failing", worker="zg-a-w01")
        submissions = [self.submit("extract") for _ in range(3)]
        for submission in submissions:
            self.wait_finished(submission, EXTRACT_TASKS)
        self.check_work()

    def test_refusing_workers_hold_work_back_until_they_accept(self):
        self.cluster.fault("worker_refusing")
        submission = self.submit("extract")
        time.sleep(3)
        self.assertEqual([], self.cluster.executions(submission))
        self.cluster.clear()
        self.wait_finished(submission, EXTRACT_TASKS)
        wait_for("services and standing workers run", self.all_run)
        self.check_work()

    def test_poison_job_is_held_after_its_attempts(self):
        submission = self.submit("poison")
        wait_for("it is held", lambda: self.job_state(submission) in ("held", "failed"))
        attempts = len(self.cluster.executions(submission))
        self.assertLessEqual(attempts, POISON_ATTEMPTS)
        time.sleep(3)
        self.assertEqual(attempts, len(self.cluster.executions(submission)))

    def test_cancelled_job_stays_cancelled(self):
        submission = self.submit("reconciliation")
        self.cluster.run("cancel", submission, "--log", self.cluster.platform)
        wait_for(
            "nothing of it runs",
            lambda: self.job_state(submission) == "cancelled"
            and not any(e["to_ms"] is None for e in self.cluster.executions(submission)),
        )
        attempts = len(self.cluster.executions(submission))
        for name in self.cluster.names("scheduler"):
            self.kill(name)
            self.cluster.start_daemon(name)
        time.sleep(LEASE_SECONDS)
        self.assertEqual(attempts, len(self.cluster.executions(submission)))
        self.assertEqual("cancelled", self.job_state(submission))
        self.assertEqual(set(), self.finished(submission))

    def test_drained_worker_is_emptied_and_comes_back(self):
        victim = self.running("standing")[0]["worker"]
        self.cluster.run("drain", victim, "--log", self.cluster.platform)
        wait_for(
            "it is emptied",
            lambda: not any(
                e["worker"] == victim and e["to_ms"] is None for e in self.cluster.executions()
            ),
        )
        wait_for("services and standing workers run", self.all_run)
        self.check_work()

    def test_restart_after_records_expired(self):
        submission = self.submit("extract")
        self.wait_finished(submission, EXTRACT_TASKS)
        standing = {(e["task"], e["attempt"]) for e in self.running("standing")}
        wait_for("a snapshot is written", self.has_snapshot)
        self.cluster.fault("log_records", keep=KEPT_RECORDS)
        # So many appends that all records of the submission have expired.
        for _ in range(3):
            self.wait_finished(self.submit("extract"), EXTRACT_TASKS)
        for name in self.cluster.names("scheduler"):
            self.kill(name)
        for name in self.cluster.names("scheduler"):
            self.cluster.start_daemon(name)
        self.cluster.wait_ready()
        later = self.submit("extract")
        self.wait_finished(later, EXTRACT_TASKS)
        check_finished_once(self.cluster.executions(submission), EXTRACT_TASKS)
        self.assertEqual(standing, {(e["task"], e["attempt"]) for e in self.running("standing")})
        self.check_work()

    def has_snapshot(self):
        return any("snapshot" in record["data"] for record in self.cluster.log("work"))


class SmallCellTest(EndToEndCase):
    """Cells of two workers: one that is out of reach is half of its cell."""

    rack_size = 2

    def test_paused_half_of_a_cell_is_replaced(self):
        self.check_paused_worker_is_replaced()


if __name__ == "__main__":
    unittest.main()
