"""Replays recorded traces of requests, submissions and faults.

The traces run against real processes; traces/README.md describes their format.
"""

import csv
import json
import pathlib
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True

from cluster import check_finished_once, try_call, wait_for
from e2e_case import EXTRACT_TASKS, RECONCILIATION_TASKS, EndToEndCase

TRACES = pathlib.Path(__file__).resolve().parents[3] / "traces"
TASKS_BY_JOB = {"extract": EXTRACT_TASKS, "reconciliation": RECONCILIATION_TASKS}


def read_trace(name):
    """Returns the rows of a trace; lines that start with # are comments."""
    lines = (TRACES / f"{name}.csv").read_text().splitlines()
    return list(csv.DictReader(line for line in lines if not line.startswith("#")))


class ReplayTest(EndToEndCase):
    def test_replay_zagreb(self):
        self.replay(read_trace("replay-zagreb"))

    def test_replay_montevideo(self):
        self.replay(read_trace("replay-montevideo"))

    def replay(self, rows):
        """Replays each row at its `at_ms`, then checks the trace's thresholds."""
        self.wait_serving()
        self.received_answers = {}
        self.job_by_submission = {}
        threads = []
        started = time.monotonic()
        events = [row for row in rows if row["kind"] != "demand"]
        for number, row in enumerate(events):
            wait_seconds = int(row["at_ms"]) / 1000 - (time.monotonic() - started)
            time.sleep(max(0, wait_seconds))
            thread = threading.Thread(target=self.replay_event, args=(number, row))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        thresholds = {row["what"]: float(row["run_ms"]) for row in rows if row["kind"] == "demand"}
        self.check_results(thresholds, sum(row["kind"] == "request" for row in rows))

    def replay_event(self, number, row):
        if row["kind"] == "request":
            self.replay_request(number, row)
        elif row["kind"] == "submit":
            self.job_by_submission[self.submit(row["what"])] = row["what"]
        elif row["what"] == "clear":
            self.cluster.clear_faults()
        else:
            self.replay_fault(row["what"])

    def replay_request(self, number, row):
        method, operation = row["what"].split(" ")
        size = int(row["body_bytes"])
        answer = try_call(
            self.cluster.callers(self.cluster.names("gateway")[number % 2]),
            method,
            f"/portal/{operation}?ms={row['run_ms']}",
            body="b" * size if size else None,
            headers={"x-request-id": f"replay-{number}"},
            seconds=60,
        )
        self.received_answers[f"replay-{number}"] = (size, answer)

    def replay_fault(self, what):
        kind, _, value = what.partition(":")
        if value.isdigit():
            self.cluster.inject_fault(kind, count=int(value))
        else:
            self.cluster.inject_fault(kind, delay=value)

    def check_results(self, thresholds, requests):
        """Checks what must always hold, and the thresholds of the trace.

        A request runs at most once, an answer belongs to its request, and a
        request reported as not run did not run.
        """
        self.assertEqual(requests, len(self.received_answers))
        runs = self.cluster.request_runs()
        complete_answers = 0
        for request_id, (size, answer) in self.received_answers.items():
            self.assertLessEqual(runs.get(request_id, 0), 1, request_id)
            if answer is None:
                continue
            if answer[0] != 200:
                marked_not_run = answer[1].get("carobmast-ran") == "no"
                self.assertFalse(marked_not_run and request_id in runs, request_id)
                continue
            echo = json.loads(answer[2])
            self.assertEqual((request_id, "b" * size), (echo["request_id"], echo["body"]))
            complete_answers += 1
        failed = {i: a for i, (_, a) in self.received_answers.items() if not a or a[0] != 200}
        self.assertGreaterEqual(
            100 * complete_answers / requests, thresholds["answered_percent"], failed
        )
        for submission, job in self.job_by_submission.items():
            self.wait_finished(submission, TASKS_BY_JOB[job])
            check_finished_once(self.cluster.executions(submission), TASKS_BY_JOB[job])
        self.assertGreaterEqual(len(self.job_by_submission), thresholds["jobs_finished"])
        wait_for("services and standing workers run", self.all_running)
        self.check_invariants()


if __name__ == "__main__":
    unittest.main()
