#!/usr/bin/env python3
"""Randomized soak test that injects faults into node processes from outside.

Usage: soak.py PROGRAM [--seed N] [--seeds COUNT] [--seconds S]
               [--overlap | --losses | --cancels | --restarts | --waves]
               [--orders KIND] [--nodes N] [--workers N]
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
With --cancels, clients cancel jobs at any moment and leave submissions unanswered, and
copies of submissions arrive late, while overlapping faults come in series. In the calm
after a series, no task of a job may start or run whose cancel was acknowledged.
With --restarts, workers restart silently under their names while long tasks run, so that
orders for one incarnation reach the next, and some of them are cut off soon after; nodes
and the store fail beside that. Each restart draws whether open connections to the worker
outlive it, and whether calls before it are late: they get no answer, and are carried out
by whichever incarnation is there seconds later. --orders fixes what is drawn.
With --waves, waves of upkeep are requested that overlap, while the owner is lost again
and again, and the store and the service of the machines fail. No more machines of a wave
than it allows may be down at once, no upkeep may end a run, each wave must be completed
once the faults are over, and then all processors must be in use again.
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
    CANCEL_SECONDS, CONTACT_SECONDS, DRAIN_SECONDS, HOLD_MAX_MS, LATE_SECONDS, REGISTRY,
    STOP_SECONDS, calm_periods, find_doubled, find_gaps, find_starts_while_leaving,
    find_unasked, find_unsent_starts, put_config)

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
# With --losses and --cancels, workers grant leases as long as in real deployments.
REAL_HOLD_MAX_MS = 6000
# With --restarts they grant longer ones than nodes ask for, which is 5 s.
LONG_HOLD_MAX_MS = 10000
RESTARTS_SIZE = (3, 6)
RESTARTS_MILLISECONDS = (50, 300, 1500, 8000)
# Ranges of how long a worker that restarts is silent, how long after that it is cut off,
# and for how long.
DOWN_SECONDS, UNTIL_CUT_SECONDS, CUT_SECONDS = (0.05, 0.7), (0, 2.5), (2, 9)
CUT_SHARE = 0.7
# Whether connections outlive a restart, and whether calls before it are late.
RESTART_KINDS = {"end": (False, False), "outlive": (True, False), "late": (False, True),
                 "both": (True, True)}
# How often a worker restarts in a row, how long after one another, and how long before a
# restart calls are late.
RESTARTS_IN_ROW, BETWEEN_SECONDS, LATE_FOR_SECONDS = (1, 1, 1, 2, 3), (0, 1.5), (0.5, 2)
STANDING_JOBS, STANDING_TASKS = 4, 4
# Nodes and workers of a round by default. With --losses a majority of the nodes is
# left although the owner and another node are lost.
DEFAULT_SIZE, LOSSES_SIZE = (3, 4), (5, 10)
WORKER_LOSSES = ("back", "renamed", "gone")
OWNER_LOSSES = ("kill", "pause", "replace")
QUIET_FAULTS = ("configuration", "reload")

# With --waves: nodes and machines of a round, machines of a wave, how many of them may be
# down at once, and the time from one wave to the next.
WAVES_SIZE = (3, 6)
WAVE_MACHINES, WAVE_MOST_DOWN, WAVE_PAUSE_SECONDS = (2, 6), (1, 2), (1, 5)
# A worker that drains could register again after its machine's upkeep.
WAVES_FAULTS = tuple(kind for kind in FAULT_KINDS if kind != "drain")
MACHINE_FAULT_KINDS = ("orders", "all")

# With --cancels nodes and workers are as many as needed to have former owners, and room
# for the tasks of jobs that are cancelled late.
CANCELS_SIZE = (5, 8)
CLIENTS = 8
# Faults that hold calls up occur most often: they make calls overtake one another.
CANCELS_FAULTS = FAULT_KINDS + STORE_FAULT_KINDS + ("pause",) * 4 + ("reset",)
# These neither interrupt a node nor the way to the store.
HARMLESS_FAULTS = ("configuration", "reload", "drain")
OWNER_SHARE = 0.6
SERIES_SECONDS = (5, 9)
# The calm after a series, in which each task of a cancelled job must be gone.
CALM_SECONDS = CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS + 0.5
# Longer than what is left of a round: such a task ends only by a stop.
LONG_MILLISECONDS = 120000
# An accepted job must be known after this time.
VISIBLE_SECONDS = 3.0
# Callers' submissions and cancels are repeated at most so often.
SUBMIT_ATTEMPTS, CANCEL_ATTEMPTS = 4, 60


class Round:
    def __init__(self, program, seed, options):
        self.random = random.Random(seed)
        nodes, workers = (LOSSES_SIZE if options.losses
                          else CANCELS_SIZE if options.cancels
                          else RESTARTS_SIZE if options.restarts
                          else WAVES_SIZE if options.waves else DEFAULT_SIZE)
        workers = options.workers or workers
        self.cluster = Cluster(
            program, nodes=options.nodes or nodes,
            workers=0 if options.waves else workers,
            machines=workers if options.waves else 0,
            hold_max_ms=(REAL_HOLD_MAX_MS if options.losses or options.cancels
                         else LONG_HOLD_MAX_MS if options.restarts else HOLD_MAX_MS))
        self.milliseconds = (50, 300, 1500)
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
                            self.random.choice(self.milliseconds))
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
        self.apply_fault(generator, kind, node, generator.uniform(0.2, 3))

    def apply_fault(self, generator, kind, node, length):
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

    def counts(self):
        return (f"{len(self.accepted)} accepted, {len(self.refused)} refused, "
                f"{len(self.unknown)} open")

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


class RestartsRound(Round):
    """Workers restart silently, and some are cut off soon after."""

    def __init__(self, program, seed, options):
        super().__init__(program, seed, options)
        self.milliseconds = RESTARTS_MILLISECONDS
        # The restarts and faults of a seed don't depend on how often other threads draw.
        self.restart_random = random.Random(f"restarts {seed}")
        self.kinds = [options.orders] if options.orders else list(RESTART_KINDS)
        self.restarting, self.restarts = set(), []

    def inject_faults(self, deadline, _generator):
        generator = self.restart_random
        restarts = threading.Thread(
            target=self.restart_workers,
            args=(deadline, random.Random(generator.random())))
        restarts.start()
        super().inject_faults(deadline, generator)
        restarts.join()

    def restart_workers(self, deadline, generator):
        while time.monotonic() < deadline:
            live = [worker for worker in self.cluster.workers
                    if not worker.crashed and not worker.silent
                    and worker.name not in self.draining | self.restarting]
            chosen = generator.sample(live, round(generator.uniform(0.3, 0.7) * len(live)))
            self.restarting |= {worker.name for worker in chosen}
            self.faults.append(f"restart-{len(chosen)}")
            threads = [threading.Thread(target=self.restart_worker, args=(
                worker, random.Random(generator.random()))) for worker in chosen]
            for thread in threads:
                thread.start()
            time.sleep(generator.uniform(1, 5))
            self.drains += threads

    def restart_worker(self, worker, generator):
        for number in range(generator.choice(RESTARTS_IN_ROW)):
            if number:
                time.sleep(generator.uniform(*BETWEEN_SECONDS))
            worker = self.restart_once(worker, generator)
        if generator.random() < CUT_SHARE:
            time.sleep(generator.uniform(*UNTIL_CUT_SECONDS))
            worker.set_silent(True)
            time.sleep(generator.uniform(*CUT_SECONDS))
            worker.set_silent(False)
        self.restarting.discard(worker.name)

    def restart_once(self, worker, generator):
        kind = generator.choice(self.kinds)
        is_outlived, is_late = RESTART_KINDS[kind]
        if is_late:
            worker.late_calls = random.Random(generator.random())
            time.sleep(generator.uniform(*LATE_FOR_SECONDS))
        self.restarts.append(kind)
        return self.cluster.restart_silently(
            worker, generator.uniform(*DOWN_SECONDS), is_outlived)

    def counts(self):
        kinds = collections.Counter(self.restarts)
        return f"{super().counts()}, " + ", ".join(
            f"{kinds[kind]} restarts {kind}" for kind in self.kinds)

    def check_invariants(self):
        broken = super().check_invariants()
        if broken:
            self.write_orders()
        return broken

    def write_orders(self):
        """Writes what each incarnation was sent, and its runs, beside the logs."""
        wall = time.time() - time.monotonic()
        with open(f"{self.cluster.folder}/workers.log", "w", encoding="utf-8") as log:
            rows = [(order["at"], worker.name, worker.number, order)
                    for worker in self.cluster.workers for order in list(worker.orders)]
            rows += [(run["start"], run["worker"], run["born"], run)
                     for run in list(self.cluster.history)]
            for at, *row in sorted(rows, key=lambda row: row[0]):
                print(f"{wall + at:.3f}", *row, file=log)


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


class WavesRound(Round):
    """Waves of upkeep overlap, beside overlapping faults."""

    def __init__(self, program, seed, options):
        super().__init__(program, seed, options)
        # The waves and faults of a seed don't depend on how often other threads draw.
        self.wave_random = random.Random(f"waves {seed}")
        self.machines = self.cluster.machines
        self.client = Client(self.cluster, random.Random(seed))

    def inject_fault(self, generator, kinds=WAVES_FAULTS):
        kind = generator.choice(WAVES_FAULTS + STORE_FAULT_KINDS + MACHINE_FAULT_KINDS)
        node, length = generator.choice(self.cluster.nodes), generator.uniform(0.2, 3)
        if generator.random() < OWNER_SHARE:
            node = self.cluster.owner()
        self.faults.append(kind)
        if kind in MACHINE_FAULT_KINDS:
            self.machines.trouble = kind
            time.sleep(length)
            self.machines.trouble = ""
        else:
            self.apply_fault(generator, kind, node, length)

    def inject_faults(self, deadline, _generator):
        generator = self.wave_random
        waves = threading.Thread(target=self.request_waves, args=(
            deadline, random.Random(generator.random())))
        series = threading.Thread(target=super().inject_faults, args=(
            deadline, random.Random(generator.random())))
        waves.start()
        series.start()
        super().inject_faults(deadline, generator)
        series.join()
        waves.join()

    def request_waves(self, deadline, generator):
        names = sorted(self.machines.machines)
        while time.monotonic() < deadline:
            count = min(generator.randint(*WAVE_MACHINES), len(names))
            self.machines.request_wave(len(self.machines.waves) + 1,
                                       generator.sample(names, count),
                                       generator.randint(*WAVE_MOST_DOWN))
            time.sleep(generator.uniform(*WAVE_PAUSE_SECONDS))

    def counts(self):
        return (f"{super().counts()}, {len(self.machines.waves)} waves, "
                f"{len(self.machines.begun)} upkeeps")

    def check_invariants(self):
        broken = super().check_invariants()
        until = time.monotonic() + SETTLE_SECONDS
        open_waves = set(self.machines.waves)
        while open_waves and time.monotonic() < until:
            time.sleep(0.1)
            open_waves = {number for number in open_waves if "completed"
                          not in self.machines.wave_states(number)}
        broken += [f"wave {number} was not completed" for number in open_waves]
        broken += self.machines.find_broken()
        self.check_all_processors_are_used()
        return broken

    def check_all_processors_are_used(self):
        job = "f" * 16
        tasks = sum(machine["worker"].capacity // 1000
                    for machine in self.machines.machines.values())
        if not self.client.repeat_call("POST", job, make_job(1, tasks, LONG_MILLISECONDS)):
            self.violations.append(f"job {job} was not accepted")
        until = time.monotonic() + SETTLE_SECONDS
        running = 0
        while running < tasks and time.monotonic() < until:
            time.sleep(0.1)
            running = sum(run["end"] is None and run["task"].startswith(job)
                          for run in list(self.cluster.history))
        if running < tasks:
            self.violations.append(f"{running} of {tasks} processors are used")


class CancelJob:
    """A job of --cancels, as its client knows it."""

    def __init__(self, name, generator, is_cancelled):
        self.name = name
        # Status of each attempt to submit it, None if there was no valid answer.
        self.answers = []
        self.accepted_at = self.cancelled_at = None
        self.cancel_status = None
        # When a state request was sent that was answered "no such job" too late.
        self.denied_at = None
        self.is_cancelled = is_cancelled
        milliseconds = generator.choice((50, 300, 1500))
        is_standing = False
        if is_cancelled and generator.random() < 0.7:
            milliseconds = generator.choice((4000, LONG_MILLISECONDS))
            is_standing = generator.random() < 0.2
        # A standing task runs until it is stopped, whatever its estimate says.
        spec = json.dumps({"job": name,
                           **({} if is_standing else {"ms": milliseconds})})
        counts = [generator.randint(1, 3)
                  for _ in range(1 if is_standing else generator.randint(1, 3))]
        steps = [{"count": count, "cpu": 1000, "mem-mb": 64,
                  "estimate-ms": milliseconds,
                  **({"depends-on": [step - 1]} if step else {}),
                  **({"long-running": True} if is_standing else {})}
                 for step, count in enumerate(counts)]
        self.body = json.dumps({"spec": spec, "steps": steps})
        self.specs = {f"{name}.0.{step}.{index}": spec
                      for step, count in enumerate(counts) for index in range(count)}

    def add_answer(self, answer):
        self.answers.append(None if answer is None else answer[0])
        if self.answers[-1] == 200 and self.accepted_at is None:
            self.accepted_at = time.monotonic()


class CancelsClient:
    """A client with open connections to two nodes, which it keeps until they break. It
    submits, leaves, repeats, cancels and asks, one job after the other."""

    def __init__(self, cluster, number, seed):
        self.cluster, self.number = cluster, number
        self.random = random.Random(f"client {seed} {number}")
        self.connections = [
            Client(cluster, random.Random(f"connection {seed} {number} {index}"))
            for index in range(2)]
        self.jobs, self.threads, self.violations = [], [], []

    def run(self, deadline):
        while time.monotonic() < deadline:
            name = f"{self.number:04x}{len(self.jobs):012x}"
            job = CancelJob(name, self.random, self.random.random() < 0.7)
            self.jobs.append(job)
            self.handle_job(job)
            self.ask(self.random.choice(self.jobs))
            time.sleep(self.random.uniform(0, 0.2))
        for thread in self.threads:
            thread.join()

    def call(self, method, job, body=None):
        return self.random.choice(self.connections).call(method, job.name, body)

    def later(self, call, *arguments):
        self.threads.append(threading.Thread(target=call, args=arguments))
        self.threads[-1].start()

    def handle_job(self, job):
        kind = self.random.choices(("submit", "leave", "never"), (60, 35, 5))[0]
        if kind == "never":
            job.specs, job.is_cancelled = {}, True
        elif kind == "leave":
            job.answers.append(None)
            self.later(self.random.choice(self.cluster.nodes).send_and_leave, "POST",
                       self.cluster.path(job.name), job.body,
                       self.random.uniform(0, 0.3))
        else:
            self.submit(job)
        if kind != "never" and self.random.random() < 0.4:
            self.later(self.send_copy, job, self.random.choice(self.cluster.nodes),
                       self.random.uniform(0, 6))
        if not job.is_cancelled:
            return
        delay = self.random.choices(
            (0, self.random.uniform(0, 0.2), self.random.uniform(0.2, 6)),
            (30, 50, 20))[0]
        if delay > 0.2:
            client = Client(self.cluster, random.Random(self.random.random()))
            self.later(self.cancel, job, client.call, delay)
        else:
            self.cancel(job, lambda method, _: self.call(method, job), delay)

    def submit(self, job):
        for _ in range(self.random.randint(1, SUBMIT_ATTEMPTS)):
            job.add_answer(self.call("POST", job, job.body))
            if job.answers[-1] == 200:
                return
            time.sleep(0.1)

    def send_copy(self, job, node, delay):
        """A copy of the submission arrives at any time and node."""
        time.sleep(delay)
        job.add_answer(node.call("POST", self.cluster.path(job.name), job.body))

    def cancel(self, job, call, delay):
        time.sleep(delay)
        for _ in range(CANCEL_ATTEMPTS):
            answer = call("DELETE", job.name)
            if answer is not None and answer[0] in (200, 410):
                job.cancelled_at, job.cancel_status = time.monotonic(), answer[0]
                return
            time.sleep(0.2)
        self.violations.append(f"the cancel of {job.name} was never acknowledged")

    def ask(self, job):
        """Asks for the state, and cancels some jobs again that are cancelled."""
        if job.cancelled_at is not None and self.random.random() < 0.2:
            self.call("DELETE", job)
            return
        sent_at = time.monotonic()
        answer = self.call("GET", job)
        if (answer is not None and answer[0] == 410 and not job.is_cancelled
                and job.accepted_at is not None
                and job.accepted_at + VISIBLE_SECONDS < sent_at):
            job.denied_at = sent_at


class CancelsRound(Round):
    """Jobs are cancelled at any moment, beside series of overlapping faults."""

    def __init__(self, program, seed, options):
        super().__init__(program, seed, options)
        self.fault_random = random.Random(f"cancels {seed}")
        self.clients = [CancelsClient(self.cluster, number, seed)
                        for number in range(CLIENTS)]
        # Begin and end of each fault that interrupts something.
        self.disturbances = []

    def jobs(self):
        return [job for client in self.clients for job in list(client.jobs)]

    def submit_jobs(self, deadline):
        threads = [threading.Thread(target=client.run, args=(deadline,))
                   for client in self.clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def inject_fault(self, generator, kinds=CANCELS_FAULTS):
        kind, is_owner = generator.choice(kinds), generator.random() < OWNER_SHARE
        node, length = generator.choice(self.cluster.nodes), generator.uniform(0.2, 3.5)
        own = random.Random(generator.random())
        if is_owner:
            node = self.cluster.owner()
        self.faults.append(kind)
        if kind in HARMLESS_FAULTS:
            self.apply_fault(own, kind, node, length)
            return
        disturbance = [time.monotonic(), None]
        self.disturbances.append(disturbance)
        self.apply_fault(own, kind, node, length)
        disturbance[1] = time.monotonic() + (LATE_SECONDS if kind == "late" else 0)

    def inject_series(self, generator, until):
        while time.monotonic() < until:
            self.inject_fault(generator)
            time.sleep(generator.uniform(0.05, 0.8))

    def inject_faults(self, deadline, _generator):
        """Series of overlapping faults. After each, a calm in which tasks of cancelled
        jobs must be gone."""
        while time.monotonic() < deadline and not self.violations:
            until = time.monotonic() + self.fault_random.uniform(*SERIES_SECONDS)
            threads = [threading.Thread(
                target=self.inject_series,
                args=(random.Random(self.fault_random.random()), until))
                for _ in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(max(0, max([until] + [end for _, end in self.disturbances])
                           + CALM_SECONDS - time.monotonic()))
            self.check_cancels()

    def check_cancels(self):
        history = list(self.cluster.history)
        jobs = {job.name: job for job in self.jobs()}
        cancelled = {name: job.cancelled_at for name, job in jobs.items()
                     if job.cancelled_at is not None}
        for run in find_unasked(history, cancelled, self.disturbances):
            job = jobs[run["task"].split(".")[0]]
            end = run["end"] or time.monotonic()
            self.violations.append(
                f"{run['task']} of a cancelled job ran from "
                f"{run['start'] - job.cancelled_at:.1f} to "
                f"{end - job.cancelled_at:.1f} s after the answer {job.cancel_status}: "
                f"{run['worker']} {run['end_kind'] or 'runs on'}, "
                f"submission answered {job.answers}")

    def counts(self):
        statuses = collections.Counter(job.cancel_status for job in self.jobs())
        return (f"{super().counts()}, {statuses[200]} cancelled, "
                f"{statuses[410]} cancelled as unknown")

    def check_invariants(self):
        jobs = self.jobs()
        for job in jobs:
            kind = (self.accepted if job.accepted_at is not None
                    else self.refused if job.answers and set(job.answers) <= {429, 503}
                    else self.unknown)
            kind.add(job.name)
        accepted = self.accepted
        self.accepted = {job.name for job in jobs
                         if job.name in accepted and not job.is_cancelled}
        super().check_invariants()
        self.accepted = accepted
        for client in self.clients:
            self.violations += client.violations
        self.check_cancels()
        self.check_states(jobs)
        sent = {task: spec for job in jobs for task, spec in job.specs.items()}
        self.violations += [f"{run['task']} was started, which no client sent: {run}"
                            for run in find_unsent_starts(list(self.cluster.history),
                                                          sent)]
        # Texts of a run that was found in more than one calm.
        self.violations = list(dict.fromkeys(self.violations))
        return self.violations

    def check_states(self, jobs):
        """Cancelled jobs are told as ended, and accepted ones are known."""
        periods = calm_periods(self.disturbances, time.monotonic())
        self.violations += [
            f"accepted job {job.name} was denied" for job in jobs
            if job.denied_at is not None
            and any(begin + CONTACT_SECONDS < job.denied_at < until
                    for begin, until in periods)]
        over = {(200, state) for state in ("cancelled", "completed", "failed")}
        for job in jobs:
            if job.cancelled_at is None:
                continue
            answer = None
            for _ in range(SUBMIT_ATTEMPTS):
                node = self.random.choice(self.cluster.nodes)
                answer = node.call("GET", self.cluster.path(job.name))
                if answer is not None and answer[0] in (200, 410):
                    break
                time.sleep(0.2)
            told = answer and (answer[0], answer[1].get("state"))
            if told in over or (job.accepted_at is None and told == (410, None)):
                continue
            self.violations.append(f"cancelled job {job.name} is told as {answer}, its "
                                   f"submission was answered {job.answers}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument("--overlap", action="store_true")
    modes.add_argument("--losses", action="store_true")
    modes.add_argument("--cancels", action="store_true")
    modes.add_argument("--restarts", action="store_true")
    modes.add_argument("--waves", action="store_true")
    parser.add_argument("--orders", choices=list(RESTART_KINDS))
    parser.add_argument("--nodes", type=int)
    parser.add_argument("--workers", type=int)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        kind = (LossesRound if options.losses
                else CancelsRound if options.cancels
                else RestartsRound if options.restarts
                else WavesRound if options.waves else Round)
        soak_round = kind(options.program, seed, options)
        threading.excepthook = soak_round.on_thread_failed
        try:
            broken = soak_round.run()
        finally:
            soak_round.cluster.close()
        failed += bool(broken)
        print(f"seed {seed}: {soak_round.counts()}, "
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
