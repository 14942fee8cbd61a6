"""Tests that answers are complete, refusals are true and stops are graceful."""

import http.client
import http.server
import json
import signal
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True

from cluster import try_call, wait_for
from e2e_case import PORTAL_INSTANCES, EndToEndCase


class SpanCollector(http.server.BaseHTTPRequestHandler):
    """Receives the spans that daemons export; keeps (path, body) of each request."""

    requests = []

    def do_POST(self):
        body = self.rfile.read(int(self.headers["content-length"]))
        self.requests.append((self.path, json.loads(body)))
        self.send_response(200)
        self.send_header("content-length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


class RequestsTest(EndToEndCase):
    def test_spans_go_to_a_collector(self):
        self.wait_serving()
        server = http.server.HTTPServer(("127.0.0.1", 0), SpanCollector)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        self.kill("gateway-1")
        self.cluster.start_daemon(
            "gateway-1",
            trace_address=f"127.0.0.1:{server.server_address[1]}",
            trace_percent=100,
        )
        wait_for("gateway-1 forwards requests", self.is_serving)
        path, body = wait_for(
            "the collector receives spans", lambda: next(iter(SpanCollector.requests), None)
        )
        self.assertEqual("/v1/traces", path)
        self.assertIn("resourceSpans", body)

    # A stopping gateway must answer its requests in flight before it exits.
    def test_stopping_gateway_answers_requests_in_flight(self):
        self.wait_serving()
        answers = []

        def send_slow_request():
            answers.append(
                self.send_request(
                    path="/portal/import?ms=2000", headers={"x-request-id": "slow"}, seconds=30
                )
            )

        caller = threading.Thread(target=send_slow_request)
        caller.start()
        wait_for("the request is in flight", lambda: "slow" in self.cluster.request_runs())
        self.assertEqual(0, self.cluster.stop("gateway-1"))
        caller.join()
        self.assertEqual(200, answers[0][0])
        self.assertEqual("slow", json.loads(answers[0][2])["request_id"])
        self.assertTrue(self.is_serving("gateway-2"))

    # A request must leave spans that continue the caller's trace, and metrics; the
    # set that comes into force must leave a log line.
    def test_request_leaves_spans_metrics_and_lines(self):
        self.wait_serving()
        self.kill("gateway-1")
        spans_file = self.cluster.folder / "spans.json"
        self.cluster.start_daemon("gateway-1", trace_file=str(spans_file))
        wait_for("gateway-1 forwards requests", self.is_serving)
        trace = "0af7651916cd43dd8448eb211c80319c"
        caller = "b7ad6b7169203331"
        self.send_request(headers={"traceparent": f"00-{trace}-{caller}-01"})

        def spans():
            lines = spans_file.read_text().splitlines() if spans_file.exists() else []
            return [
                span
                for line in lines
                for resource in json.loads(line)["resourceSpans"]
                for scope in resource["scopeSpans"]
                for span in scope["spans"]
                if span["traceId"] == trace
            ]

        wait_for("a span for each hop", lambda: len(spans()) == 2)
        request, attempt = sorted(spans(), key=lambda span: span["kind"])
        self.assertEqual(caller, request["parentSpanId"])
        self.assertEqual(request["spanId"], attempt["parentSpanId"])
        operator = self.cluster.operator("gateway-1")
        metrics = try_call(operator, "GET", "/metrics")[2]
        self.assertIn("carobmast_answered_total", metrics)
        self.assertIn("carobmast_request_seconds_bucket", metrics)
        scheduler = self.cluster.operator("scheduler-1")
        self.assertIn(
            "carobmast_scheduler_claims_total", try_call(scheduler, "GET", "/metrics")[2]
        )
        lines = (self.cluster.folder / "gateway-1.err").read_text()
        self.assertIn('module=config event="set in force"', lines)

    # A truncated answer of a target must not reach the caller as a whole one, and a
    # POST must not be repeated.
    def test_answer_cut_short_is_an_error(self):
        self.wait_serving()
        self.cluster.inject_fault("target_cut", bytes=150)
        for method, request_id in (("GET", "cut-get"), ("POST", "cut-post")):
            try:
                status, _, body = self.send_request(
                    method=method,
                    path="/portal/check?ms=1",
                    body="x" * 200 if method == "POST" else None,
                    headers={"x-request-id": request_id},
                )
                self.assertGreaterEqual(status, 500, body)
            except (http.client.HTTPException, OSError):
                pass  # A broken connection is an error to the caller as well.
        self.assertEqual(1, self.cluster.request_runs()["cut-post"])
        self.cluster.clear_faults()
        self.wait_serving()

    # A caller may repeat a request marked `carobmast-ran: no`, so it must not have run.
    def test_refusal_by_the_target_is_told_as_not_run(self):
        self.wait_serving()
        self.cluster.inject_fault("target_refusing")
        status, headers, _ = self.send_request(
            method="POST", body="x", headers={"x-request-id": "refused"}
        )
        self.assertGreaterEqual(status, 429)
        self.assertEqual("no", headers.get("carobmast-ran"))
        self.assertNotIn("refused", self.cluster.request_runs())
        self.cluster.clear_faults()
        self.wait_serving()

    # Concurrent requests on pooled connections must not get each other's answers.
    def test_every_answer_belongs_to_its_request(self):
        self.wait_serving()
        wrong = []

        def send_many(caller):
            gateway = self.cluster.names("gateway")[caller % 2]
            for number in range(20):
                request_id = f"own-{caller}-{number}"
                body = request_id * (1 + number * 50)
                answer = self.send_request(
                    gateway, "POST", f"/portal/check?ms={(caller * 7 + number * 3) % 40}",
                    body=body, headers={"x-request-id": request_id}, seconds=30,
                )
                echo = json.loads(answer[2]) if answer[0] == 200 else {}
                if echo.get("request_id") != request_id or echo.get("body") != body:
                    wrong.append((request_id, answer[0], answer[2][:200]))

        callers = [threading.Thread(target=send_many, args=(n,)) for n in range(16)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual([], wrong[:3])
        runs = self.cluster.request_runs()
        self.assertEqual([], [i for i, n in runs.items() if i.startswith("own-") and n != 1])

    # A request repeated under its Idempotency-Key at another gateway, after the
    # first gateway crashed, must not run again.
    def test_killed_gateway_runs_a_request_at_most_once(self):
        self.wait_serving()
        headers = {"x-request-id": "bill-1", "Idempotency-Key": "bill-1"}
        first_answers = []

        def send_bill():
            answer = try_call(
                self.cluster.callers("gateway-1"), "POST", "/portal/bill?ms=1500",
                body="42", headers=headers, seconds=30,
            )
            first_answers.append(answer)

        caller = threading.Thread(target=send_bill)
        caller.start()
        wait_for("the request is in flight", lambda: "bill-1" in self.cluster.request_runs())
        self.kill("gateway-1")
        caller.join()
        self.assertTrue(first_answers[0] is None or first_answers[0][0] != 200, first_answers)
        # The caller repeats the request with the same key at the other gateway.
        try_call(
            self.cluster.callers("gateway-2"), "POST", "/portal/bill?ms=10",
            body="42", headers=headers, seconds=30,
        )
        self.assertEqual(1, self.cluster.request_runs()["bill-1"])

    # A request repeated under its Idempotency-Key must not run again.
    def test_repeated_key_at_one_gateway_runs_once(self):
        self.wait_serving()
        headers = {"x-request-id": "book-1", "Idempotency-Key": "book-1"}
        for _ in range(2):
            self.send_request(method="POST", path="/portal/book?ms=10", body="7", headers=headers)
        self.assertEqual(1, self.cluster.request_runs()["book-1"])

    # A gateway that resumes after a pause must not mix up answers or repeat requests.
    def test_paused_gateway_answers_its_own_requests(self):
        self.wait_serving()
        answers = {}

        def send_numbered(number):
            answers[number] = try_call(
                self.cluster.callers("gateway-1"), "POST", "/portal/check?ms=500",
                body=str(number), headers={"x-request-id": f"paused-{number}"}, seconds=30,
            )

        callers = [threading.Thread(target=send_numbered, args=(n,)) for n in range(4)]
        for caller in callers:
            caller.start()
        wait_for("the requests are in flight", lambda: "paused-3" in self.cluster.request_runs())
        self.cluster.process("gateway-1").send(signal.SIGSTOP)
        time.sleep(3)
        self.cluster.process("gateway-1").send(signal.SIGCONT)
        for caller in callers:
            caller.join()
        for number, answer in answers.items():
            if answer is not None and answer[0] == 200:
                self.assertEqual(f"paused-{number}", json.loads(answer[2])["request_id"])
        runs = self.cluster.request_runs()
        self.assertEqual([1] * 4, [runs[f"paused-{number}"] for number in range(4)])

    # An answer that arrives after its request timed out must not be passed to the
    # next request on the connection.
    def test_late_answers_are_not_given_to_others(self):
        self.wait_serving()
        self.cluster.inject_fault("target_late", delay="1500ms")
        for number in range(6):
            try_call(
                self.cluster.callers("gateway-1"), "POST", "/portal/check?ms=1", body="late",
                headers={"x-request-id": f"late-{number}", "carobmast-timeout": "300ms"},
            )
        self.cluster.clear_faults()
        for number in range(30):
            status, _, body = self.send_request(
                method="POST", path="/portal/check?ms=1", body="own",
                headers={"x-request-id": f"after-{number}"},
            )
            if status == 200:
                self.assertEqual(f"after-{number}", json.loads(body)["request_id"])
        runs = self.cluster.request_runs()
        self.assertEqual([], [i for i, n in runs.items() if n > 1])

    # Requests must not fail because a gateway still uses an instance that moved.
    def test_leaving_worker_gets_no_new_requests(self):
        self.wait_serving()
        victim = self.running("service")[0]
        self.cluster.inject_fault("vm_leaving", worker=victim["worker"])
        wait_for(
            "the instance is moved",
            lambda: victim["worker"] not in {e["worker"] for e in self.running("service")}
            and len(self.running("service")) == PORTAL_INSTANCES,
        )
        for number in range(40):
            gateway = self.cluster.names("gateway")[number % 2]
            status, _, body = self.send_request(gateway)
            self.assertEqual(200, status, body)

    # Connections that the kernel has completed and the gateway has not accepted must be
    # answered, not reset, when the gateway stops.
    def test_stopping_gateway_answers_connections_not_yet_accepted(self):
        self.wait_serving()
        gateway = self.cluster.process("gateway-1")
        gateway.send(signal.SIGSTOP)
        address = self.cluster.callers("gateway-1").rsplit(":", 1)
        callers = []
        for number in range(4):
            caller = http.client.HTTPConnection(address[0], int(address[1]), timeout=30)
            caller.request("POST", "/portal/check?ms=30", body="x",
                           headers={"x-request-id": f"queued-{number}"})
            callers.append(caller)
        gateway.send(signal.SIGTERM)
        gateway.send(signal.SIGCONT)
        answers = [caller.getresponse().status for caller in callers]
        self.assertEqual([200] * 4, answers)
        self.assertEqual(0, gateway.wait())

    # A rolling restart of the gateways must not break requests in flight.
    def test_stopping_all_gateways_in_turn_cuts_no_request_off(self):
        self.wait_serving()
        failures = []
        done = threading.Event()

        def send_until_done(gateway):
            number = 0
            while not done.is_set():
                number += 1
                answer = None
                try:
                    answer = self.send_request(
                        gateway, "POST", "/portal/check?ms=30", body="x" * 1000,
                        headers={"x-request-id": f"roll-{gateway}-{number}"},
                    )
                except ConnectionRefusedError:
                    time.sleep(0.05)  # The gateway is restarting; nothing was sent.
                    continue
                except (OSError, http.client.HTTPException) as error:
                    failures.append((gateway, number, repr(error)))
                if answer is not None and answer[0] == 200 and "x" * 1000 not in answer[2]:
                    failures.append((gateway, number, answer[2][:100]))

        callers = [
            threading.Thread(target=send_until_done, args=(name,))
            for name in self.cluster.names("gateway") for _ in range(4)
        ]
        for caller in callers:
            caller.start()
        try:
            for name in self.cluster.names("gateway"):
                time.sleep(1)
                self.assertEqual(0, self.cluster.stop(name))
                self.cluster.start_daemon(name)
                wait_for(f"{name} forwards requests", lambda n=name: self.is_serving(n))
        finally:
            done.set()
            for caller in callers:
                caller.join()
        self.assertEqual([], failures[:3])


if __name__ == "__main__":
    unittest.main()
