"""Tests cell ownership, leases, recovery and placement under failures."""

import json
import signal
import sys
import time
import unittest

sys.dont_write_bytecode = True

from cluster import check_finished_once, wait_for
from e2e_case import (
    CHECKPOINT_INTERVAL_MS,
    QUARTER_CLOSE_MS,
    QUARTER_CLOSE_TASKS,
    EXTRACT_TASKS,
    RETAINED_RECORDS,
    LEASE_SECONDS,
    PLATFORM_OUT,
    POISON_MAX_ATTEMPTS,
    RECONCILIATION_TASKS,
    EndToEndCase,
)


class WorkTest(EndToEndCase):
    # After a crash and restart of schedulers, no batch task may be lost or run
    # twice, and the same standing tasks must run.
    def test_killed_scheduler_is_replaced(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        before = {e["task"] for e in self.running("standing")}
        for name in ("scheduler-1", "scheduler-2"):
            self.kill(name)
            self.cluster.start_daemon(name)
        self.wait_finished(submission, RECONCILIATION_TASKS)
        self.check_invariants()
        self.assertEqual(before, {e["task"] for e in self.running("standing")})

    # The surviving schedulers must claim the cells of killed ones.
    def test_killed_scheduler_without_replacement(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        self.kill("scheduler-1")
        self.kill("scheduler-2")
        self.wait_finished(submission, RECONCILIATION_TASKS)
        wait_for("services and standing workers run", self.all_running)
        self.check_invariants()

    # Schedulers that all restart must adopt running tasks instead of starting
    # them again.
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
        self.wait_serving()
        self.wait_finished(submission, RECONCILIATION_TASKS)
        self.check_invariants()
        self.assertEqual(
            len(standing),
            len(self.cluster.executions("claims-watcher")),
            "standing workers were restarted instead of adopted",
        )

    # A scheduler that resumes after others claimed its cells must start nothing.
    def test_paused_scheduler_returns_as_zombie(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        self.cluster.process("scheduler-1").send(signal.SIGSTOP)
        time.sleep(LEASE_SECONDS * 2)
        self.cluster.process("scheduler-1").send(signal.SIGCONT)
        self.wait_finished(submission, RECONCILIATION_TASKS)
        wait_for("services and standing workers run", self.all_running)
        time.sleep(LEASE_SECONDS)
        self.assertTrue(self.all_running())
        self.check_invariants()

    # A submission that could not be stored must be reported as not accepted and
    # never run later; an outage longer than the lease must stop no running task.
    def test_log_outage_refuses_submissions_and_stops_nothing(self):
        self.wait_serving()
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 1)
        running = {(e["task"], e["attempt"]) for e in self.running("standing")}
        self.cluster.inject_fault("log_out")
        code, output, errors = self.cluster.command(
            "submit", "extract", "--timeout", "2s", "--log", self.cluster.platform,
            "--output", "json",
        )
        self.assertEqual(PLATFORM_OUT, code, output + errors)
        self.assertEqual("not accepted", json.loads(output)["outcome"])
        refused = json.loads(output)["id"]
        time.sleep(LEASE_SECONDS * 2)
        self.assertTrue(self.is_serving())
        self.assertEqual(running, {(e["task"], e["attempt"]) for e in self.running("standing")})
        self.cluster.clear_faults()
        self.wait_finished(submission, RECONCILIATION_TASKS)
        later = self.submit("extract")
        self.wait_finished(later, EXTRACT_TASKS)
        self.assertEqual([], self.cluster.executions(refused))
        self.check_invariants()

    # A submission repeated under the same id must not run its tasks twice.
    def test_repeated_submission_is_accepted_once(self):
        for _ in range(2):
            self.cluster.run("submit", "extract", "--id", "once", "--log", self.cluster.platform)
        self.wait_finished("once", EXTRACT_TASKS)
        time.sleep(2)
        check_finished_once(self.cluster.executions("once"), EXTRACT_TASKS)

    # Guards against a standing task that runs on both the old and the new worker.
    def test_worker_paused_beyond_its_lease_returns(self):
        self.check_paused_worker_is_replaced()

    # Tasks and instances of a VM that disappears must run on other workers.
    def test_lost_worker_is_replaced(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, RECONCILIATION_TASKS)
        victim = self.running("standing")[0]["worker"]
        self.cluster.inject_fault("vm_gone", worker=victim)
        self.wait_finished(submission, RECONCILIATION_TASKS)
        wait_for("services and standing workers run", self.all_running)
        self.check_invariants()
        self.wait_serving()

    # A worker whose VM is about to leave must lose its tasks and get no new ones.
    def test_leaving_worker_is_emptied(self):
        victim = self.running("standing")[0]["worker"]
        self.cluster.inject_fault("vm_leaving", worker=victim)
        wait_for(
            "no task runs on the worker",
            lambda: not any(
                e["worker"] == victim and e["to_ms"] is None for e in self.cluster.executions()
            ),
        )
        wait_for("services and standing workers run", self.all_running)
        submission = self.submit("extract")
        self.wait_finished(submission, EXTRACT_TASKS)
        self.assertNotIn(victim, {e["worker"] for e in self.cluster.executions(submission)})
        self.check_invariants()

    # A repeated start after a lost request or answer must not run the task twice.
    def test_lost_worker_answers_start_nothing_twice(self):
        self.cluster.inject_fault("worker_lost_answers", count=2)
        first = self.submit("extract")
        self.wait_finished(first, EXTRACT_TASKS)
        self.cluster.inject_fault("worker_lost_requests", count=2)
        second = self.submit("extract")
        self.wait_finished(second, EXTRACT_TASKS)
        self.check_invariants()

    # A slow log must neither lose a submission nor stop running tasks.
    def test_slow_log_delays_and_loses_nothing(self):
        self.cluster.inject_fault("log_slow", delay="800ms")
        submission = self.submit("extract")
        self.wait_finished(submission, EXTRACT_TASKS)
        self.assertTrue(self.all_running())
        self.check_invariants()

    # A graceful stop must hand cells over while their tasks keep running.
    def test_stopped_schedulers_hand_over_without_ending_tasks(self):
        submission = self.submit("reconciliation")
        self.wait_batch_runs(submission, 2)
        before = {(e["task"], e["attempt"]) for e in self.running("standing")}
        self.assertEqual(0, self.cluster.stop("scheduler-1"))
        self.assertEqual(0, self.cluster.stop("scheduler-2"))
        self.wait_finished(submission, RECONCILIATION_TASKS)
        self.assertEqual(before, {(e["task"], e["attempt"]) for e in self.running("standing")})
        self.check_invariants()

    # Schedulers restart while a VM reboots: the new owners must notice the reboot
    # and start the lost tasks once.
    def test_owner_loses_cell_while_worker_reboots(self):
        victim = self.running("standing")[0]["worker"]
        self.cluster.inject_fault("vm_gone", worker=victim)
        self.cluster.inject_fault("vm_back", worker=victim)
        for name in self.cluster.names("scheduler"):
            self.kill(name)
            self.cluster.start_daemon(name)
        wait_for("services and standing workers run", self.all_running)
        time.sleep(LEASE_SECONDS)
        self.assertTrue(self.all_running())
        self.check_invariants()

    def test_evicted_batch_resumes_from_its_checkpoint(self):
        submission = self.submit("quarter-close")
        self.wait_batch_runs(submission, QUARTER_CLOSE_TASKS)
        time.sleep(2)
        victim = [e for e in self.running("batch") if e["task"].startswith(submission + "/")][0]
        self.cluster.inject_fault("vm_leaving", worker=victim["worker"])
        self.wait_finished(submission, QUARTER_CLOSE_TASKS)
        self.check_resumed(victim["task"])

    def test_batch_of_a_lost_worker_resumes_from_its_checkpoint(self):
        submission = self.submit("quarter-close")
        self.wait_batch_runs(submission, QUARTER_CLOSE_TASKS)
        time.sleep(6)
        victim = [e for e in self.running("batch") if e["task"].startswith(submission + "/")][0]
        self.cluster.inject_fault("vm_gone", worker=victim["worker"])
        self.wait_finished(submission, QUARTER_CLOSE_TASKS)
        # Workers report checkpoints to the owner with lease renewals, each second,
        # so the last reported checkpoint may be older than the last written one.
        self.check_resumed(victim["task"], lag_ms=3000)

    def check_resumed(self, task, lag_ms=0):
        """Checks that the evicted task repeated at most one checkpoint interval.

        `lag_ms` is further time that it may repeat.
        """
        periods = self.cluster.executions(task)
        self.assertGreater(len(periods), 1, "the task was not interrupted")
        ran_ms = sum(e["to_ms"] - e["from_ms"] for e in periods)
        self.assertLess(ran_ms, QUARTER_CLOSE_MS + CHECKPOINT_INTERVAL_MS + lag_ms)
        self.assertGreaterEqual(ran_ms, QUARTER_CLOSE_MS - len(periods))
        self.check_invariants()

    # A worker on which every task fails must not use up the attempts of a job.
    def test_worker_that_fails_everything_does_not_hold_a_job(self):
        self.cluster.inject_fault("worker_failing", worker="zg-a-w01")
        submissions = [self.submit("extract") for _ in range(3)]
        for submission in submissions:
            self.wait_finished(submission, EXTRACT_TASKS)
        self.check_invariants()

    # Tasks that workers refuse must wait and run once workers accept again.
    def test_refusing_workers_hold_work_back_until_they_accept(self):
        self.cluster.inject_fault("worker_refusing")
        submission = self.submit("extract")
        time.sleep(3)
        self.assertEqual([], self.cluster.executions(submission))
        self.cluster.clear_faults()
        self.wait_finished(submission, EXTRACT_TASKS)
        wait_for("services and standing workers run", self.all_running)
        self.check_invariants()

    # A job that always fails must not be retried beyond its max_attempts.
    def test_poison_job_is_held_after_its_attempts(self):
        submission = self.submit("poison")
        wait_for(
            "the job is held or failed",
            lambda: self.job_state(submission) in ("held", "failed"),
        )
        attempts = len(self.cluster.executions(submission))
        self.assertLessEqual(attempts, POISON_MAX_ATTEMPTS)
        time.sleep(3)
        self.assertEqual(attempts, len(self.cluster.executions(submission)))

    # A restarted scheduler must not start the tasks of a cancelled job again.
    def test_cancelled_job_stays_cancelled(self):
        submission = self.submit("reconciliation")
        self.cluster.run("cancel", submission, "--log", self.cluster.platform)
        wait_for(
            "no task of the cancelled job runs",
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
            "no task runs on the worker",
            lambda: not any(
                e["worker"] == victim and e["to_ms"] is None for e in self.cluster.executions()
            ),
        )
        wait_for("services and standing workers run", self.all_running)
        self.check_invariants()

    # Schedulers that restart after records expired must restore the state from a
    # snapshot: finished tasks don't run again and standing tasks are adopted.
    def test_restart_after_records_expired(self):
        submission = self.submit("extract")
        self.wait_finished(submission, EXTRACT_TASKS)
        standing = {(e["task"], e["attempt"]) for e in self.running("standing")}
        wait_for("a snapshot is written", self.has_snapshot)
        self.cluster.inject_fault("log_records", keep=RETAINED_RECORDS)
        # Enough appends to make all records of the first submission expire.
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
        self.check_invariants()

    def has_snapshot(self):
        return any("snapshot" in record["data"] for record in self.cluster.read_log("work"))


class SmallCellTest(EndToEndCase):
    """Cells of two workers: an unreachable worker is half of its cell."""

    rack_size = 2

    def test_paused_half_of_a_cell_is_replaced(self):
        self.check_paused_worker_is_replaced()


if __name__ == "__main__":
    unittest.main()
