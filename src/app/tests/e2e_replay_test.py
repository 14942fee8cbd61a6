"""Replays recorded traces through the real processes (format: traces/README.md)."""

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
TASKS = {"extract": EXTRACT_TASKS, "reconciliation": RECONCILIATION_TASKS}


def read_trace(name):
    lines = (TRACES / f"{name}.csv").read_text().splitlines()
    return list(csv.DictReader(line for line in lines if not line.startswith("#")))


class ReplayTest(EndToEndCase):
    def test_replay_zagreb(self):
        self.replay(read_trace("replay-zagreb"))

    def test_replay_montevideo(self):
        self.replay(read_trace("replay-montevideo"))

    def replay(self, rows):
        self.wait_answers()
        self.answers_seen = {}
        self.submitted = {}
        threads = []
        started = time.monotonic()
        events = [row for row in rows if row["kind"] != "demand"]
        for number, row in enumerate(events):
            wait = int(row["at_ms"]) / 1000 - (time.monotonic() - started)
            time.sleep(max(0, wait))
            thread = threading.Thread(target=self.play, args=(number, row))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        demands = {row["what"]: float(row["run_ms"]) for row in rows if row["kind"] == "demand"}
        self.check(demands, sum(row["kind"] == "request" for row in rows))

    def play(self, number, row):
        if row["kind"] == "request":
            self.play_request(number, row)
        elif row["kind"] == "submit":
            self.submitted[self.submit(row["what"])] = row["what"]
        elif row["what"] == "clear":
            self.cluster.clear()
        else:
            self.play_fault(row["what"])

    def play_request(self, number, row):
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
        self.answers_seen[f"replay-{number}"] = (size, answer)

    def play_fault(self, what):
        kind, _, value = what.partition(":")
        if value.isdigit():
            self.cluster.fault(kind, count=int(value))
        else:
            self.cluster.fault(kind, delay=value)

    def check(self, demands, requests):
        self.assertEqual(requests, len(self.answers_seen))
        runs = self.cluster.request_runs()
        whole = 0
        for request_id, (size, answer) in self.answers_seen.items():
            self.assertLessEqual(runs.get(request_id, 0), 1, request_id)
            if answer is None:
                continue
            if answer[0] != 200:
                told_not_run = answer[1].get("carobmast-ran") == "no"
                self.assertFalse(told_not_run and request_id in runs, request_id)
                continue
            echo = json.loads(answer[2])
            self.assertEqual((request_id, "b" * size), (echo["request_id"], echo["body"]))
            whole += 1
        failed = {i: a for i, (_, a) in self.answers_seen.items() if not a or a[0] != 200}
        self.assertGreaterEqual(100 * whole / requests, demands["answered_percent"], failed)
        for submission, job in self.submitted.items():
            self.wait_finished(submission, TASKS[job])
            check_finished_once(self.cluster.executions(submission), TASKS[job])
        self.assertGreaterEqual(len(self.submitted), demands["jobs_finished"])
        wait_for("services and standing workers run", self.all_run)
        self.check_work()


if __name__ == "__main__":
    unittest.main()
