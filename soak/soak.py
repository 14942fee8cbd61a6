#!/usr/bin/env python3
"""Randomized fault soak: real nodes as processes, faults from outside them.

Usage: soak.py PROGRAM [--seed N] [--seeds COUNT] [--seconds S] [--overlap]
               [--nodes N] [--workers N]
Each seed plays one round: jobs are handed in through all nodes while nodes are
killed, paused, stopped gracefully and restarted, and their connections to the store
delayed, reset, cut one way or silenced. Then the faults end, and every accepted job
must complete; no task may run twice at once or after an end that was noted, nor be
started on a worker that has long said that it leaves.
With --overlap two faults go on at a time, and the store misbehaves too: it refuses
calls, carries appends out without an answer, or does so late.
Prints a line a seed; exits with 1 when a promise was broken.
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

# Until everything accepted must have completed after the faults: leases of the
# stand-in, the longest ownership without proof, and a takeover, with room to spare.
SETTLE_SECONDS = 45


KINDS = ("kill", "kill_all", "pause", "stop", "reset", "silent", "silent_to",
         "silent_from", "delay", "configuration", "reload", "drain", "unread")
STORE_KINDS = ("busy", "lost", "late")
# Of a drain beyond the bound, in which a start is a fault.
DRAIN_EXTRA_SECONDS = 2.0


class Round:
    def __init__(self, program, seed, options):
        self.random = random.Random(seed)
        self.cluster = Cluster(program, nodes=options.nodes, workers=options.workers)
        self.seconds = options.seconds
        self.overlap = options.overlap
        self.locks = {node.name: threading.Lock() for node in self.cluster.nodes}
        self.accepted, self.refused, self.open = set(), set(), set()
        self.version = 1
        self.faults = []
        self.draining, self.drains = set(), []

    def hand_in(self, until):
        number = 0
        while time.monotonic() < until:
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
                self.open.add(job)
            time.sleep(self.random.uniform(0.02, 0.2))

    def fault(self, chance):
        node = chance.choice(self.cluster.nodes)
        kind = chance.choice(KINDS + STORE_KINDS if self.overlap else KINDS)
        self.faults.append(kind)
        length = chance.uniform(0.2, 3)
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
            self.drain(chance, DRAIN_SECONDS + DRAIN_EXTRA_SECONDS + length)
        elif kind == "unread":
            self.cluster.store.unread.add(REGISTRY)
            time.sleep(2 * length)
            self.cluster.store.unread.discard(REGISTRY)
        elif kind in STORE_KINDS:
            self.cluster.store.trouble = kind
            time.sleep(length)
            self.cluster.store.trouble = ""
        else:
            node.proxy.mode = kind
            time.sleep(length)
            node.proxy.mode = "ok"
            node.proxy.reset()

    def drain(self, chance, seconds):
        """A worker says that it leaves, while other faults go on."""
        worker = chance.choice(self.cluster.workers)
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

    def inject(self, until, chance):
        while time.monotonic() < until:
            time.sleep(chance.uniform(0.1, 1.0))
            self.fault(chance)

    def play(self):
        """Returns what was broken, one text each."""
        self.cluster.wait_ready()
        until = time.monotonic() + self.seconds
        callers = threading.Thread(target=self.hand_in, args=(until,))
        callers.start()
        threads = [callers]
        if self.overlap:
            chance = random.Random(self.random.random())
            threads.append(threading.Thread(target=self.inject, args=(until, chance)))
            threads[-1].start()
        self.inject(until, self.random)
        for thread in threads + self.drains:
            thread.join()
        return self.judge()

    def judge(self):
        until = time.monotonic() + SETTLE_SECONDS
        waiting = set(self.accepted)
        while waiting and time.monotonic() < until:
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
        game = Round(options.program, seed, options)
        try:
            broken = game.play()
        finally:
            game.cluster.close()
        failed += bool(broken)
        print(f"seed {seed}: {len(game.accepted)} accepted, {len(game.refused)} "
              f"refused, {len(game.open)} open, {len(game.cluster.history)} runs, "
              f"faults {' '.join(game.faults)}: "
              f"{'BROKEN, logs in ' + game.cluster.folder if broken else 'ok'}",
              flush=True)
        for text in broken[:5]:
            print(f"  {text}", flush=True)
    print(f"{options.seeds - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
