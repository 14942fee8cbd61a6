"""Injects random failures, repairs them, then checks the invariants.

CAROBMAST_SEED seeds the choice of failures, CAROBMAST_RUNS is their number.
The processes run in real time: a seed reproduces the failures and their order,
but not the interleaving of events.
"""

import json
import os
import random
import signal
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True

from cluster import check_finished_once, try_call, wait_for
from e2e_case import EXTRACT_TASKS, LEASE_SECONDS, EndToEndCase

DEFAULT_SEED = 20260417
DEFAULT_RUNS = 12


class ChaosTest(EndToEndCase):
    def test_random_failures(self):
        seed = int(os.environ.get("CAROBMAST_SEED", DEFAULT_SEED))
        runs = int(os.environ.get("CAROBMAST_RUNS", DEFAULT_RUNS))
        print(f"CAROBMAST_SEED={seed} CAROBMAST_RUNS={runs}", flush=True)
        self.random = random.Random(seed)
        self.paused = []
        self.accepted = []
        self.refused = []
        self.start_requests()
        failures = [
            self.kill_daemon, self.kill_daemon, self.pause_daemon, self.break_log,
            self.pause_worker, self.lose_worker_answers, self.reboot_worker, self.break_targets,
        ]
        for number in range(runs):
            failure = self.random.choice(failures)
            detail = failure()
            print(f"{number}: {failure.__name__} {detail}", flush=True)
            self.try_submit(number)
            time.sleep(self.random.uniform(0.2, 2.0))
            if self.random.random() < 0.5:
                self.heal()
        self.heal()
        self.stop_requests()
        self.cluster.wait_ready()
        self.check_final_state()

    # Failures. Each method returns what the test prints about the failure.

    def kill_daemon(self):
        name = self.random.choice(list(self.cluster.daemons))
        if name in self.paused:
            self.paused.remove(name)
        self.kill(name)
        self.cluster.start_daemon(name)
        return name

    def pause_daemon(self):
        name = self.random.choice(list(self.cluster.daemons))
        if name not in self.paused:
            self.paused.append(name)
            self.cluster.process(name).send(signal.SIGSTOP)
        return name

    def break_log(self):
        kind = self.random.choice(
            ["log_out", "log_slow", "log_lost_answers", "log_lost_requests", "log_read_only"]
        )
        self.cluster.inject_fault(kind, count=3, delay="700ms")
        return kind

    def pause_worker(self):
        worker = self.choose_worker()
        self.cluster.inject_fault("worker_paused", worker=worker)
        return worker

    def lose_worker_answers(self):
        kind = self.random.choice(["worker_lost_answers", "worker_lost_requests"])
        self.cluster.inject_fault(kind, count=3)
        return kind

    def reboot_worker(self):
        worker = self.choose_worker()
        self.cluster.inject_fault("vm_gone", worker=worker)
        time.sleep(self.random.uniform(0, 1.5))
        self.cluster.inject_fault("vm_back", worker=worker)
        return worker

    def break_targets(self):
        kind = self.random.choice(["target_cut", "target_refusing", "target_late"])
        self.cluster.inject_fault(kind, bytes=120, delay="300ms")
        return kind

    def choose_worker(self):
        zone = self.random.choice(["zg-a", "zg-b"])
        return f"{zone}-w0{self.random.randint(1, 4)}"

    def heal(self):
        self.cluster.clear_faults()
        for name in self.paused:
            self.cluster.process(name).send(signal.SIGCONT)
        self.paused.clear()

    # Load: submissions and requests.

    def try_submit(self, number):
        submission = f"chaos-{number}"
        code, output, _ = self.cluster.command(
            "submit", "extract", "--id", submission, "--timeout", "1s",
            "--log", self.cluster.platform, "--output", "json",
        )
        outcome = json.loads(output)["outcome"] if output else f"exit {code}"
        if outcome == "accepted":
            self.accepted.append(submission)
        elif outcome == "not accepted":
            self.refused.append(submission)

    def start_requests(self):
        self.received_answers = {}
        self.wrong_answers = []
        self.done = threading.Event()
        self.callers = [
            threading.Thread(target=self.send_until_done, args=(name,))
            for name in self.cluster.names("gateway")
        ]
        for caller in self.callers:
            caller.start()
        self.addCleanup(self.stop_requests)

    def stop_requests(self):
        self.done.set()
        for caller in self.callers:
            caller.join()

    def send_until_done(self, gateway):
        number = 0
        while not self.done.is_set():
            number += 1
            request_id = f"chaos-{gateway}-{number}"
            body = request_id * 20
            answer = try_call(
                self.cluster.callers(gateway), "POST", "/portal/check?ms=20", body=body,
                headers={"x-request-id": request_id, "carobmast-timeout": "2s"}, seconds=15,
            )
            if answer is None:
                time.sleep(0.05)
                continue
            if answer[0] == 200:
                # A truncated answer is not valid JSON.
                echo = json.loads(answer[2]) if answer[2].endswith("}") else {}
                if echo.get("request_id") != request_id or echo.get("body") != body:
                    self.wrong_answers.append((request_id, answer[2][:200]))
            self.received_answers[request_id] = (answer[0], answer[1].get("carobmast-ran"))

    # Final checks.

    def check_final_state(self):
        wait_for("services and standing workers run", self.all_running, 3 * 60)
        for submission in self.accepted:
            wait_for(
                f"{submission} finishes",
                lambda s=submission: len(self.finished(s)) >= EXTRACT_TASKS,
            )
        time.sleep(LEASE_SECONDS)
        self.check_invariants()
        self.assertTrue(
            self.all_running(), "an instance or standing worker is missing or runs twice"
        )
        for submission in self.accepted:
            check_finished_once(self.cluster.executions(submission), EXTRACT_TASKS)
        for submission in self.refused:
            self.assertEqual([], self.cluster.executions(submission), submission)
        self.assertEqual([], self.wrong_answers)
        runs = self.cluster.request_runs()
        self.assertEqual(
            [], [i for i, n in runs.items() if n > 1], "requests that ran more than once"
        )
        wrongly_marked_not_run = [
            request_id
            for request_id, (_, ran) in self.received_answers.items()
            if ran == "no" and request_id in runs
        ]
        self.assertEqual(
            [], wrongly_marked_not_run, "requests that ran but were marked as not run"
        )
        self.assertGreater(len(runs), 0)


if __name__ == "__main__":
    unittest.main()
