"""Tests that a published set is stored once and comes into force everywhere."""

import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True

from cluster import TcpProxy, try_call, wait_for
from e2e_case import (
    EXTRACT_TASKS,
    LEASE_SECONDS,
    REFUSED,
    WATCHER_REPLICAS,
    SET_FILE,
    USAGE,
    EndToEndCase,
)


class ConfigTest(EndToEndCase):
    # A command that repeats an append after a lost request or answer must not
    # publish or submit twice.
    def test_lost_append_answers_publish_and_submit_once(self):
        for kind in ("log_lost_answers", "log_lost_requests"):
            changed = self.write_modified_set(kind)
            self.cluster.inject_fault(kind, count=1)
            report = self.publish(changed)
            self.assertEqual("published", report["outcome"])
            ids = [record["id"] for record in self.cluster.read_log("config")]
            self.assertEqual(1, ids.count(report["id"]), ids)
        # The fault may hit an append by a scheduler instead of the submission.
        for kind in ("log_lost_answers", "log_lost_requests"):
            self.cluster.inject_fault(kind, count=1)
            submission = self.submit("extract")
            self.wait_finished(submission, EXTRACT_TASKS)
        self.check_invariants()

    # A daemon must not start without a required settings key, and must name it.
    def test_wrong_settings_start_nothing(self):
        for role in ("gateway", "scheduler"):
            path = self.cluster.folder / "wrong.yaml"
            text = (self.cluster.folder / f"{role}-1.yaml").read_text()
            path.write_text(text.replace('"zone"', '"zones"', 1))
            code, output, errors = self.cluster.command(role, "--settings", path)
            self.assertEqual(USAGE, code)
            self.assertEqual("", output)
            self.assertIn("wrong.yaml:1: key 'zone': missing, expected text", errors)

    # A published set must come into force in all processes; a publication based on
    # an older set is refused.
    def test_published_set_reaches_all_processes(self):
        report = self.publish(
            self.write_modified_set("more", replicas=5),
            "--wait", "--scheduler", self.cluster.operator("scheduler-1"),
        )
        self.assertTrue(report["rollout"]["complete"], report)
        wait_for("the new replicas run", lambda: len(self.running("standing")) == 5)
        offset = report["in_force"]["offset"]
        for name in self.cluster.names("scheduler") + self.cluster.names("gateway"):
            self.assertEqual(offset, self.cluster.status(name)["config"]["in_force"]["offset"])
        code, output, errors = self.cluster.command(
            "publish", SET_FILE, "--base", "1", "--log", self.cluster.platform
        )
        self.assertEqual(REFUSED, code, output + errors)
        self.publish(SET_FILE)
        wait_for("the removed replicas are stopped", self.all_running)
        self.check_invariants()

    # A gateway that restarts during a log outage must get the set from a peer.
    def test_restarted_gateway_takes_the_set_from_its_peer(self):
        self.wait_serving()
        self.cluster.inject_fault("log_out")
        self.kill("gateway-1")
        self.cluster.start_daemon("gateway-1")
        self.cluster.wait_ready(["gateway-1"])
        wait_for("gateway-1 forwards requests", self.is_serving)

    # A gateway that has no set must be neither ready nor answer requests.
    def test_gateway_without_log_and_peers_serves_nothing(self):
        self.cluster.inject_fault("log_out")
        for name in self.cluster.daemons:
            self.kill(name)
        self.cluster.start_daemon("gateway-1")
        time.sleep(3)
        self.assertFalse(self.cluster.is_ready("gateway-1"))
        answer = try_call(self.cluster.callers("gateway-1"), "GET", "/portal/check")
        self.assertTrue(answer is None or answer[0] >= 400, answer)

    # Of two sets published on one base, the second must not overwrite the first.
    def test_two_publishers_on_one_base_get_one_winner(self):
        base = self.cluster.status("scheduler-1")["config"]["in_force"]["offset"]
        results = []

        def publish(path):
            results.append(
                self.cluster.command(
                    "publish", path, "--base", base, "--log", self.cluster.platform
                )
            )

        publishers = [
            threading.Thread(target=publish, args=(self.write_modified_set(name, replicas),))
            for name, replicas in (("one", 4), ("other", 5))
        ]
        for publisher in publishers:
            publisher.start()
        for publisher in publishers:
            publisher.join()
        self.assertEqual([0, REFUSED], sorted(code for code, _, _ in results), results)

    # A task that is larger than each worker must be refused when it is published.
    def test_published_set_that_can_never_run_is_refused(self):
        text = SET_FILE.read_text().replace("task: {cpus: 2, memory: 4GB}",
                                            "task: {cpus: 17, memory: 4GB}")
        path = self.cluster.folder / "impossible.yaml"
        path.write_text(text)
        base = self.cluster.status("scheduler-1")["config"]["in_force"]["offset"]
        code, output, errors = self.cluster.command(
            "publish", path, "--base", base, "--log", self.cluster.platform
        )
        self.assertEqual(REFUSED, code)
        self.assertIn("reconciliation", output + errors)

    # A zone that can't reach the log must get a new set from peers and keep
    # serving beyond the lease.
    def test_zone_cut_from_the_log_learns_a_set_from_the_other_zone(self):
        proxy = TcpProxy(self.cluster.platform)
        self.addCleanup(proxy.close)
        zone_daemons = [n for n, d in self.cluster.daemons.items() if d["zone"] == "zg-a"]
        for name in zone_daemons:
            self.assertEqual(0, self.cluster.stop(name))
            self.cluster.start_daemon(name, log_service=proxy.address)
        self.cluster.wait_ready()
        wait_for(
            "a scheduler of the zone serves a cell",
            lambda: self.zone_has_serving_cell(zone_daemons),
        )
        self.wait_serving()
        proxy.cut()
        report = self.publish_from(
            "scheduler-2", self.write_modified_set("cut", replicas=WATCHER_REPLICAS)
        )
        offset = report["in_force"]["offset"]
        for name in zone_daemons:
            wait_for(
                f"{name} has the set in force",
                lambda n=name: self.reported_offset(n) == offset,
            )
        time.sleep(LEASE_SECONDS)
        self.assertTrue(self.is_serving("gateway-1"), "the zone stopped serving")
        self.check_invariants()
        proxy.heal()
        submission = self.submit("extract")
        self.wait_finished(submission, EXTRACT_TASKS)
        wait_for("services and standing workers run", self.all_running)
        self.check_invariants()

    def zone_has_serving_cell(self, names):
        """Whether a scheduler among `names` serves a cell of zone zg-a."""
        for name in names:
            cells = (self.cluster.status(name) or {}).get("cells", [])
            if any(c["cell"].startswith("zg-a/") and c["state"] == "serving" for c in cells):
                return True
        return False

    def reported_offset(self, name):
        """The offset of the set in force at `name`, as it reported to scheduler-2."""
        peers = (self.cluster.status("scheduler-2") or {}).get("config", {}).get("peers", [])
        heads = [peer.get("head") or {} for peer in peers if peer["name"] == name]
        return heads[0].get("offset") if heads else None


if __name__ == "__main__":
    unittest.main()
