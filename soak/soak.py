#!/usr/bin/env python3
"""Randomized soak test that injects faults into node processes from outside.

Usage: soak.py PROGRAM [--seed N] [--seeds COUNT] [--seconds S] [--overlap]
               [--nodes N] [--workers N]
Each seed is one round: jobs are submitted through all nodes while nodes are killed,
paused, stopped gracefully and restarted, workers are drained, the configuration is
changed and reloaded, and connections to the store are delayed, reset, cut in one
direction or silenced. Then the faults end, and every accepted job must complete.
No task may run twice at once or after its end was recorded, nor be started on a
worker well after that worker announced its drain.
With --overlap two faults are active at a time, and the store fails too: it refuses
calls, executes appends without answering, or answers them late.
Prints one line per seed; exits with 1 if an invariant was violated.
"""

import argparse
import contextlib
import pathlib
import random
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "tests"))
from node_cluster import Cluster, make_job  # noqa: E402
from platform_standin import (  # noqa: E402
    DRAIN_SECONDS, REGISTRY, find_doubled, find_starts_while_leaving, put_config)

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


class Round:
    def __init__(self, program, seed, options):
        self.random = random.Random(seed)
        self.cluster = Cluster(program, nodes=options.nodes, workers=options.workers)
        self.seconds = options.seconds
        self.overlap = options.overlap
        self.locks = {node.name: threading.Lock() for node in self.cluster.nodes}
        self.accepted, self.refused, self.unknown = set(), set(), set()
        self.version = 1
        self.faults = []
        self.draining, self.drains = set(), []

    def submit_jobs(self, deadline):
        """Submits random jobs. Those with neither acceptance nor refusal are unknown."""
        number = 0
        while time.monotonic() < deadline:
            job = f"{number:016x}"
            number += 1
            body = make_job(self.random.randint(1, 2), self.random.randint(1, 4),
                            self.random.choice((50, 300, 1500)))
            node = self.random.choice(self.cluster.nodes)
            answer = node.call("POST", self.cluster.path(job), body)
            if answer is not None and answer[0] == 200:
                self.accepted.add(job)
            elif answer is not None and answer[0] in (429, 503):
                self.refused.add(job)
            else:
                self.unknown.add(job)
            time.sleep(self.random.uniform(0.02, 0.2))

    def inject_fault(self, generator):
        node = generator.choice(self.cluster.nodes)
        kind = generator.choice(
            FAULT_KINDS + STORE_FAULT_KINDS if self.overlap else FAULT_KINDS)
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
            self.cluster.restart(nodes, number, pause)

    def inject_faults(self, deadline, generator):
        while time.monotonic() < deadline:
            time.sleep(generator.uniform(0.1, 1.0))
            self.inject_fault(generator)

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
        broken = [f"accepted job {job} has not completed" for job in waiting]
        for first, second in find_doubled(list(self.cluster.history)):
            broken.append(f"{first['task']} ran twice: {first} {second}")
        for run in find_starts_while_leaving(self.cluster.workers,
                                             list(self.cluster.history)):
            broken.append(f"{run['task']} was started on a worker that leaves: {run}")
        ran = {run["task"].split(".")[0] for run in self.cluster.history}
        broken += [f"refused job {job} ran" for job in self.refused & ran]
        return broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--overlap", action="store_true")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak_round = Round(options.program, seed, options)
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
