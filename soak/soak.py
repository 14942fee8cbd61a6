#!/usr/bin/env python3
"""Randomized soak test that injects faults into node processes from outside.

Usage: soak.py PROGRAM [--seed N] [--seeds COUNT] [--seconds S]
               [--overlap | --losses] [--nodes N] [--workers N]
Each seed is one round: jobs are submitted through all nodes while nodes are killed,
paused, stopped gracefully and restarted, workers are drained, the configuration is
changed and reloaded, and connections to the store are delayed, reset, cut in one
direction or silenced. Then the faults end, and every accepted job must complete.
No task may run twice at once or after its end was recorded, nor be started on a
worker well after that worker announced its drain. No process may end by itself.
With --overlap two faults are active at a time, and the store fails too: it refuses
calls, executes appends without answering, or answers them late.
With --losses most workers crash at once, together with the owner, while jobs with
standing tasks run; the workers are back at their addresses as new incarnations, or
replaced by others. No standing task may have no run for more than MAX_AWAY_SECONDS.
Prints one line per seed; exits with 1 if an invariant was violated.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import random
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "tests"))
from node_cluster import Client, Cluster, make_job  # noqa: E402
from platform_standin import (  # noqa: E402
    DRAIN_SECONDS, HOLD_MAX_MS, REGISTRY, find_doubled, find_gaps,
    find_starts_while_leaving, put_config)

# Time after the faults within which every accepted job must complete: the leases of
# the stand-in, the longest time that an owner acts without proof of its ownership,
# and a takeover, plus a margin.
SETTLE_SECONDS = 45

FAULT_KINDS = ("kill", "kill_all", "pause", "stop", "reset", "silent", "silent_to",
               "silent_from", "delay", "configuration", "reload", "drain", "unread")
STORE_FAULT_KINDS = ("busy", "lost", "late")
# How long a drain lasts beyond DRAIN_SECONDS, the bound after which a start on the
# draining worker is a violation.
DRAIN_EXTRA_SECONDS = 2.0

# Longest time that a standing task may be without a run while there is room: 6 s, and
# 3 s more, which is what operators accept.
MAX_AWAY_SECONDS = 9.0
# Time without losses after which each longer absence shows.
QUIET_SECONDS = MAX_AWAY_SECONDS + 1
# With --losses, workers grant leases as long as those of real deployments.
LOSSES_HOLD_MAX_MS = 6000
STANDING_JOBS, STANDING_TASKS = 4, 4
# Nodes and workers of a round by default. With --losses a majority of the nodes is
# left although the owner and another node are lost.
DEFAULT_SIZE, LOSSES_SIZE = (3, 4), (5, 10)
WORKER_LOSSES = ("back", "renamed", "gone")
OWNER_LOSSES = ("kill", "pause", "replace")
QUIET_FAULTS = ("configuration", "reload")


class Round:
    def __init__(self, program, seed, options):
        self.random = random.Random(seed)
        nodes, workers = LOSSES_SIZE if options.losses else DEFAULT_SIZE
        self.cluster = Cluster(
            program, nodes=options.nodes or nodes, workers=options.workers or workers,
            hold_max_ms=LOSSES_HOLD_MAX_MS if options.losses else HOLD_MAX_MS)
        self.seconds = options.seconds
        self.overlap = options.overlap
        self.locks = collections.defaultdict(threading.Lock)
        self.accepted, self.refused, self.unknown = set(), set(), set()
        self.version = 1
        self.faults = []
        self.draining, self.drains = set(), []
        self.violations = []

    def submit_jobs(self, deadline):
        """Submits random jobs. Those with neither acceptance nor refusal are unknown."""
        number = 0
        while time.monotonic() < deadline:
            job = f"{number:016x}"
            number += 1
            body = make_job(self.random.randint(1, 2), self.random.randint(1, 4),
                            self.random.choice((50, 300, 1500)))
            answer = self.send("POST", job, body)
            if answer is not None and answer[0] == 200:
                self.accepted.add(job)
            elif answer is not None and answer[0] in (429, 503):
                self.refused.add(job)
            else:
                self.unknown.add(job)
            time.sleep(self.random.uniform(0.02, 0.2))

    def send(self, method, job, body=None):
        node = self.random.choice(self.cluster.nodes)
        return node.call(method, self.cluster.path(job), body)

    def inject_fault(self, generator, kinds=FAULT_KINDS):
        node = generator.choice(self.cluster.nodes)
        kind = generator.choice(kinds)
        self.faults.append(kind)
        length = generator.uniform(0.2, 3)
        if kind == "kill":
            self.restart([node], signal.SIGKILL, length / 3)
        elif kind == "kill_all":
            self.restart(self.cluster.nodes, signal.SIGKILL, length / 3)
        elif kind == "stop":
            self.restart([node], signal.SIGTERM, 0)
        elif kind == "pause":
            node.signal(signal.SIGSTOP)
            time.sleep(length)
            node.signal(signal.SIGCONT)
        elif kind == "reset":
            node.proxy.reset()
        elif kind == "delay":
            node.proxy.delay = 0.1
            time.sleep(length)
            node.proxy.delay = 0.0
        elif kind == "configuration":
            self.version += 1
            put_config(self.cluster.store, self.version)
        elif kind == "reload":
            node.signal(signal.SIGHUP)
        elif kind == "drain":
            self.drain(generator, DRAIN_SECONDS + DRAIN_EXTRA_SECONDS + length)
        elif kind == "unread":
            self.cluster.store.unread.add(REGISTRY)
            time.sleep(2 * length)
            self.cluster.store.unread.discard(REGISTRY)
        elif kind in STORE_FAULT_KINDS:
            self.cluster.store.trouble = kind
            time.sleep(length)
            self.cluster.store.trouble = ""
        else:
            node.proxy.mode = kind
            time.sleep(length)
            node.proxy.mode = "ok"
            node.proxy.reset()

    def drain(self, generator, seconds):
        """Drains a worker in a thread of its own, while other faults go on."""
        worker = generator.choice(self.cluster.workers)
        if worker.name in self.draining:
            return
        self.draining.add(worker.name)

        def run():
            worker.drain(seconds)
            self.draining.discard(worker.name)

        self.drains.append(threading.Thread(target=run))
        self.drains[-1].start()

    def restart(self, nodes, number, pause):
        with contextlib.ExitStack() as held:
            for node in nodes:
                held.enter_context(self.locks[node.name])
                self.check_runs(node)
            self.cluster.restart(nodes, number, pause)

    def on_thread_failed(self, failure):
        """A round whose own threads fail has not injected its faults."""
        threading.__excepthook__(failure)
        if not failure.thread.daemon:
            self.violations.append(f"the soak itself failed: {failure.exc_value!r}")

    def check_runs(self, node):
        # A SIGHUP ends a node that has not yet installed its handler.
        if node.process.poll() not in (None, -signal.SIGHUP):
            self.violations.append(f"{node.name} ended by itself with status "
                                   f"{node.process.returncode}")

    def inject_faults(self, deadline, generator):
        while time.monotonic() < deadline:
            time.sleep(generator.uniform(0.1, 1.0))
            self.inject_fault(generator, FAULT_KINDS + STORE_FAULT_KINDS
                              if self.overlap else FAULT_KINDS)

    def run(self):
        """Runs the round. Returns one description per violated invariant."""
        self.cluster.wait_ready()
        deadline = time.monotonic() + self.seconds
        submitter = threading.Thread(target=self.submit_jobs, args=(deadline,))
        submitter.start()
        threads = [submitter]
        if self.overlap:
            generator = random.Random(self.random.random())
            threads.append(threading.Thread(target=self.inject_faults,
                                            args=(deadline, generator)))
            threads[-1].start()
        self.inject_faults(deadline, self.random)
        for thread in threads + self.drains:
            thread.join()
        return self.check_invariants()

    def check_invariants(self):
        """Waits for the accepted jobs, then returns the violated invariants."""
        deadline = time.monotonic() + SETTLE_SECONDS
        waiting = set(self.accepted)
        while waiting and time.monotonic() < deadline:
            for job in sorted(waiting):
                node = self.random.choice(self.cluster.nodes)
                if node.call("GET", self.cluster.path(job)) == (
                        200, {"state": "completed"}):
                    waiting.discard(job)
            time.sleep(0.2)
        for node in self.cluster.nodes:
            self.check_runs(node)
        broken = self.violations
        broken += [f"accepted job {job} has not completed" for job in waiting]
        for first, second in find_doubled(list(self.cluster.history)):
            broken.append(f"{first['task']} ran twice: {first} {second}")
        for run in find_starts_while_leaving(self.cluster.workers,
                                             list(self.cluster.history)):
            broken.append(f"{run['task']} was started on a worker that leaves: {run}")
        ran = {run["task"].split(".")[0] for run in self.cluster.history}
        broken += [f"refused job {job} ran" for job in self.refused & ran]
        return broken


class LossesRound(Round):
    """Most workers are lost together with the owner, while standing tasks run."""

    def __init__(self, program, seed, options):
        super().__init__(program, seed, options)
        # The losses of a seed don't depend on how often other threads draw.
        self.loss_random = random.Random(f"losses {seed}")
        self.submitter = Client(self.cluster, random.Random(seed))
        self.client = Client(self.cluster, random.Random(seed + 1))
        self.standing = [f"f{number:015x}" for number in range(STANDING_JOBS)]
        # When owner or workers were lost, and when workers were back or replaced.
        self.losses = []

    def send(self, method, job, body=None):
        return self.submitter.call(method, job, body)

    def take_owner(self):
        """Returns the owner, locked, once it is a node that was not lost before."""
        while True:
            node = self.cluster.owner()
            if self.locks[node.name].acquire(blocking=False):
                return node
            time.sleep(0.05)

    def lose_owner(self, kind, delay, away):
        """The owner is killed or paused for `away` seconds, or replaced by a node with
        another name within a second."""
        time.sleep(delay)
        node = self.take_owner()
        self.check_runs(node)
        node.signal(signal.SIGSTOP if kind == "pause" else signal.SIGKILL)
        self.losses.append(time.monotonic())
        time.sleep(away)
        if kind == "replace":
            # It stays locked for good.
            node.process.wait()
            self.cluster.replace_node(node)
            return
        if kind == "kill":
            node.process.wait()
            node.start()
        node.signal(signal.SIGCONT)
        self.locks[node.name].release()

    def lose_workers(self, generator, kind, delay):
        """Most workers crash. Within a second they are back, also under other names, or
        other workers join in their place."""
        time.sleep(delay)
        live = [worker for worker in self.cluster.workers if not worker.crashed]
        lost = generator.sample(live, round(generator.uniform(0.6, 0.9) * len(live)))
        for worker in lost:
            worker.crash()
        self.losses.append(time.monotonic())
        time.sleep(generator.uniform(0.2, 1))
        for worker in lost:
            self.cluster.succeed(worker, kind)
        self.losses.append(time.monotonic())

    def restart_another(self, delay):
        """Kills a node that isn't the owner, beside the losses, and starts it again."""
        time.sleep(delay)
        owner = self.cluster.owner()
        for node in self.cluster.nodes:
            if node is not owner and self.locks[node.name].acquire(blocking=False):
                self.check_runs(node)
                self.cluster.restart([node], signal.SIGKILL)
                # It became the owner meanwhile.
                if self.cluster.owner() is node:
                    self.losses.append(time.monotonic())
                self.locks[node.name].release()
                return

    def inject_losses(self, generator):
        """Begins to lose the owner and most workers within a second of each other."""
        owner, workers = generator.choice(OWNER_LOSSES), generator.choice(WORKER_LOSSES)
        lead = generator.uniform(-1, 1)
        away = generator.uniform(*((0, 1) if owner == "replace" else (3, 8)))
        own = random.Random(generator.random())
        calls = [(self.lose_owner, owner, max(0, lead), away),
                 (self.lose_workers, own, workers, max(0, -lead))]
        self.faults.append(f"{owner}+{workers}")
        if generator.random() < 0.3:
            self.faults.append("restart")
            calls.append((self.restart_another, generator.uniform(0, 2)))
        threads = [threading.Thread(target=call[0], args=call[1:]) for call in calls]
        for thread in threads:
            thread.start()
        return threads

    def inject_faults(self, deadline, _generator):
        """Series of losses. After each, the tasks get the time that they may take."""
        generator = self.loss_random
        self.start_standing()
        time.sleep(generator.uniform(0, 2))
        while time.monotonic() < deadline and not self.violations:
            threads = self.inject_losses(generator)
            if generator.random() < 0.3:
                time.sleep(generator.uniform(2, 6))
                threads += self.inject_losses(generator)
            quiet = time.monotonic() + 1
            while (any(thread.is_alive() for thread in threads)
                   or time.monotonic() < max([quiet] + self.losses) + QUIET_SECONDS):
                time.sleep(self.random.uniform(0.3, 1))
                self.client.call("GET", self.random.choice(self.standing))
                self.inject_fault(self.random, QUIET_FAULTS)
            self.check_gaps()
        self.cancel_standing()

    def start_standing(self):
        body = json.dumps({"spec": "{}", "steps": [
            {"count": STANDING_TASKS, "cpu": 1000, "mem-mb": 64,
             "estimate-ms": 1000, "long-running": True}]})
        for job in self.standing:
            if not self.client.repeat_call("POST", job, body):
                self.violations.append(f"standing job {job} was not accepted")
        self.wait_standing(STANDING_JOBS * STANDING_TASKS, "have started")

    def wait_standing(self, count, what):
        """Waits until workers run as many standing tasks."""
        until = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < until:
            running = {run["task"] for run in list(self.cluster.history)
                       if run["end"] is None and run["task"].split(".")[0]
                       in self.standing}
            if len(running) == count:
                return
            time.sleep(0.05)
        self.violations.append(f"not all standing tasks {what}: {sorted(running)} run")

    def check_gaps(self):
        history = [run for run in list(self.cluster.history)
                   if run["task"].split(".")[0] in self.standing]
        for run, gap in find_gaps(history, self.losses, MAX_AWAY_SECONDS):
            text = f"{run['task']} had no run for {gap:.1f} s after {run}"
            self.violations.append(text)

    def cancel_standing(self):
        for job in self.standing:
            if not self.client.repeat_call("DELETE", job):
                self.violations.append(f"standing job {job} was not cancelled")
        self.wait_standing(0, "have stopped")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument("--overlap", action="store_true")
    modes.add_argument("--losses", action="store_true")
    parser.add_argument("--nodes", type=int)
    parser.add_argument("--workers", type=int)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        kind = LossesRound if options.losses else Round
        soak_round = kind(options.program, seed, options)
        threading.excepthook = soak_round.on_thread_failed
        try:
            broken = soak_round.run()
        finally:
            soak_round.cluster.close()
        failed += bool(broken)
        print(f"seed {seed}: {len(soak_round.accepted)} accepted, "
              f"{len(soak_round.refused)} refused, {len(soak_round.unknown)} open, "
              f"{len(soak_round.cluster.history)} runs, "
              f"faults {' '.join(soak_round.faults)}: "
              f"{'BROKEN, logs in ' + soak_round.cluster.folder if broken else 'ok'}",
              flush=True)
        for text in broken[:5]:
            print(f"  {text}", flush=True)
    print(f"{options.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
