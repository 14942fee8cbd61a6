"""A small deployment for the scripts of the review: nodes as separate processes, and
stand-ins of the store, the minions and the service that maintains machines.

Store and minions are the project's stand-ins (platform/tests); this adds what they
lack of the protocol: machines, upkeep, and the settings of a whole deployment. All
addresses are loopback addresses, all ports are chosen by the system.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

import http.client  # noqa: E402

import platform_standin as standin  # noqa: E402

HOST, PREFIX, POOL = standin.QUEUE_HOST, standin.QUEUE_PREFIX, standin.POOL
COMMAND = ["target/bin/carobmast", "node"]
ZONES = ["z-a", "z-b", "z-c"]
# Bounds as on the sheet of reelmvd.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "outer-ms": 5000,
    "recovery-s": 12, "hold-max-ms": 10000, "stop-ms": 400, "gang-timeout-ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far-x": 3, "checkpoint-s": 1, "restore-ms": 250,
    "notice-ms": 4500, "move-s": 1.5, "upkeep-s": 2, "require-fencing": True,
    "lease-ms": 3000, "thaw-slack-ms": 300, "pace-ms": 100, "harm-ms": 4000}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A process that ends is started again after this time.
RESTART_SECONDS = 1.0


class CannotRun(Exception):
    """The case could not run, which says nothing of the rule."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.begun, self.lock = time.monotonic(), threading.Lock()

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
            self.file.flush()


class Minion(standin.Worker):
    """A worker of the project's stand-in, on a machine and in a zone."""

    def __init__(self, fleet, name, machine, zone, cores, labels, **others):
        self.fleet, self.machine, self.zone = fleet, machine, zone
        super().__init__(fleet.store, name, fleet.history, cores=cores,
                         hold_max_ms=BOUNDS["hold-max-ms"], labels=labels, **others)

    def register(self, state):
        self.store.put(standin.REGISTRY, self.name, {
            "service": self.pool, "address": f"127.0.0.1:{self.server.server_port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": state,
            "capacity": {"cpu": self.capacity, "mem-mb": 64000, "gpu": 0},
            "labels": self.labels, "machine": self.machine, "seq": 1,
            "cold-remaining-ms": 0, "born": self.born})

    def start(self, order, clock, way):
        status, answer = super().start(order, clock, way)
        self.fleet.record.note(
            f"minion {self.name} {self.labels[0]}: run-start {order['task']} attempt "
            f"{order['attempt']} fence {order.get('fence', 0)} -> {status} "
            f"{answer.get('reason', '')}{' (' + way + ')' if way else ''}")
        return status, answer

    def end(self, task, end_kind):
        super().end(task, end_kind)
        self.fleet.record.note(f"minion {self.name}: {task} ended {end_kind}")

    def leave(self):
        """Ends all runs and goes; the registry drops the entry."""
        self.crash()
        self.store.put(standin.REGISTRY, self.name, None)


class Cloud:
    """The service of the machines: GET /machines and POST /machine-upkeep."""

    def __init__(self, fleet):
        self.fleet, self.lock = fleet, threading.RLock()
        # By machine: its state, its minion, the waves that it had its upkeep for,
        # and the highest fencing token that came with an order.
        self.machines = {}
        # Machines of each wave, and how many may be down at once.
        self.waves = {}
        # Time, wave, machine, and the machines of the wave that were down already.
        self.begun = []
        self.server = standin.serve(self)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def add(self, machine, minion):
        self.machines[machine] = {"state": "up", "minion": minion, "done": set(),
                                  "fence": 0}

    def call(self, path, query, body, headers):
        with self.lock:
            if path == "/machines":
                return 200, {"machines": [self.row(name) for name in
                                          sorted(self.machines)], "next-token": None}
            if path == "/machine-upkeep":
                order = json.loads(body)
                status, answer = self.upkeep(order, int(headers["Fencing-Token"]))
                self.fleet.record.note(
                    f"cloud: upkeep of {order['machine']} for wave {order['wave']} by "
                    f"{headers['Lease-Holder']} token {headers['Fencing-Token']} -> "
                    f"{status} {answer}")
                return status, answer
        return 404, {}

    def row(self, name):
        machine = self.machines[name]
        minion = machine["minion"]
        return {"machine": name, "pool": POOL, "state": machine["state"],
                "zone": minion.zone, "labels": minion.labels,
                "capacity": {"cpu": minion.capacity, "mem-mb": 64000, "gpu": 0},
                **({"id": minion.name} if machine["state"] == "up" else {})}

    def upkeep(self, order, fence):
        machine, wave = self.machines.get(order["machine"]), order["wave"]
        if machine is None:
            return 400, {}
        if fence < machine["fence"]:
            return 409, {"reason": "fence"}
        machine["fence"] = fence
        if wave not in self.waves or order["machine"] not in self.waves[wave][0]:
            return 409, {"reason": "wave"}
        if wave in machine["done"]:
            return 200, {"note": "was done"}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        down = [name for name in self.waves[wave][0]
                if self.machines[name]["state"] == "upkeep"]
        self.begun.append((time.monotonic(), wave, order["machine"], down))
        machine["state"] = "upkeep"
        machine["done"].add(wave)
        threading.Thread(target=self.carry_out, args=(order["machine"],),
                         daemon=True).start()
        return 200, {}

    def carry_out(self, name):
        machine = self.machines[name]
        old = machine["minion"]
        old.leave()
        time.sleep(BOUNDS["upkeep-s"])
        minion = self.fleet.make_minion(name, old.zone, old.capacity // 1000,
                                        old.labels)
        with self.lock:
            machine["minion"], machine["state"] = minion, "up"
        self.fleet.record.note(f"cloud: {name} is up again with {minion.name}")


class Node:
    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"front-{number}"
        self.ip, self.zone = fleet.ip, ZONES[number % len(ZONES)]
        self.front, self.ready, self.control, self.peers = fleet.free_ports(4)
        self.process, self.started, self.ended_by_itself = None, [], []
        self.settings = fleet.folder / f"{self.name}.json"
        self.log = open(fleet.folder / f"{self.name}.log", "ab")
        self.platform = f"127.0.0.1:{fleet.store.port}"
        self.write_settings()

    def write_settings(self):
        self.settings.write_text(json.dumps({
            "node": self.name, "role": "node", "machine-class": "front",
            "serves": ["front"], "ip": self.ip, "zone": self.zone, "region": "z",
            "zones": {zone: "z" for zone in ZONES},
            "listen": {"front": f"{self.ip}:{self.front}",
                       "ready": f"{self.ip}:{self.ready}"},
            "port-range": [self.peers, self.peers], "seeds": [], "bootstrap": True,
            "loss-counts": False,
            "limits": {"cpu-share": 0.1, "cores": 1, "memory-mb": 260,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched",
                          "platform", "advice", "upkeep", "sharing"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "invoke",
            "platform": {"address": self.platform, "form": "log",
                         "writes-per-s": 800, "reads-per-s": 2000, "parts": 8,
                         "append-ms": 4.0, "part-mb-s": 20.0, "read-mb-s": 80.0,
                         "record-bytes": 262144, "call-bytes": 2097152,
                         "keep_s": 300, "part-mb": 200, "ttl-min-ms": 1000},
            **({"advice": self.fleet.advice} if self.fleet.advice else {}),
            "cloud": {"address": self.fleet.cloud.address, "rate-per-s": 60.0,
                      "duties": [], "duty-per-s": 60.0}}))

    def start(self):
        self.process = subprocess.Popen(
            COMMAND, cwd=ROOT, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C",
                 "CAROBMAST_SETTINGS": str(self.settings)})
        self.started.append(time.monotonic())
        self.fleet.record.note(f"{self.name} started, process {self.process.pid}")

    def kill(self):
        self.fleet.record.note(f"{self.name}: SIGKILL")
        os.kill(self.process.pid, signal.SIGKILL)
        self.process.wait()

    def send_signal(self, number):
        self.fleet.record.note(f"{self.name}: signal {number.name}")
        os.kill(self.process.pid, number)

    def call(self, method, path, body=None, seconds=4, quiet=False):
        """Returns status and decoded body, or None if there was no answer."""
        connection = http.client.HTTPConnection(self.ip, self.front, timeout=seconds)
        try:
            connection.request(method, path, body=body, headers={
                "Host": HOST, "Deadline-Ms": "3000",
                "Content-Type": "application/json"})
            answer = connection.getresponse()
            result = answer.status, json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            result = None
        finally:
            connection.close()
        if not quiet:
            self.fleet.record.note(f"client -> {self.name}: {method} {path} "
                                   f"{(body or '')[:90]} -> {result}")
        return result


class Fleet:
    """Use as a context: all that was started ends with it."""

    def __init__(self, case, nodes=3, minions=6, cores=8, labels=("a",), racks=2,
                 advice=None):
        if not (ROOT / COMMAND[0]).exists():
            raise CannotRun(f"{COMMAND[0]} is not built")
        self.over, self.nodes = False, []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="carobmast-review-"))
        self.record = Record(case)
        self.ip = f"127.{64 + os.getpid() // 62500 % 64}." \
                  f"{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
        self.store, self.history, self.minions = standin.Store(), [], []
        self.cloud, self.advice, self.counted = Cloud(self), advice, 0
        standin.put_config(self.store, 1)
        for number in range(minions):
            machine, zone = f"m-{number}", ZONES[number % len(ZONES)]
            self.cloud.add(machine, self.make_minion(
                machine, zone, cores, [labels[number % len(labels)],
                                       f"r{number % racks}"]))
        for number in range(nodes):
            self.nodes.append(Node(self, number))
            self.nodes[-1].start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.over = True
        for node in self.nodes:
            if node.process.poll() is None:
                os.kill(node.process.pid, signal.SIGCONT)
                os.kill(node.process.pid, signal.SIGKILL)
            node.process.wait()
            node.log.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs: {self.folder}")

    def free_ports(self, count):
        sockets = [socket.create_server((self.ip, 0)) for _ in range(count)]
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    def make_minion(self, machine, zone, cores, labels):
        self.counted += 1
        minion = Minion(self, f"minion-{self.counted}", machine, zone, cores, labels)
        self.minions.append(minion)
        return minion

    def wait(self, what, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = condition()
            if result:
                return result
            time.sleep(0.02)
        raise CannotRun(f"not seen within {seconds} s: {what}")

    @staticmethod
    def wait_quietly(condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until and not condition():
            time.sleep(0.02)

    def wait_ready(self):
        def ready():
            answers = [node.call("GET", PREFIX, quiet=True) for node in self.nodes]
            return all(answer and answer[0] == 200 for answer in answers)
        self.wait("all nodes ready", ready, 20)

    def owner(self):
        """The node whose claim is the newest in the store: the one that last wrote
        there under a condition. The claim holds the node's name."""
        with self.store.lock:
            log = list(self.store.topics.get("keyed.claims", []))
        for record in reversed(log):
            for node in self.nodes:
                if node.name.encode() in record.split(b"127.")[0]:
                    return node
        raise CannotRun("no node owns the shard")

    def restart_later(self, node):
        def restart():
            time.sleep(RESTART_SECONDS)
            if not self.over:
                node.start()
        threading.Thread(target=restart, daemon=True).start()

    def request_wave(self, number, machines, most):
        self.cloud.waves[number] = (list(machines), most)
        self.record.note(f"operator: op/wave/{number} {machines} max-parallel {most}")
        self.store.put("keyed.op", f"wave/{number}", {
            "wave": number, "machines": list(machines), "duration-s": 60,
            "max-parallel": most})

    def wave_state(self, number):
        with self.store.lock:
            log = list(self.store.topics.get("keyed.status", []))
        key, state = f"wave/{number}".encode(), ""
        for record in log:
            if record[1:1 + record[0]] == key:
                state = json.loads(record[1 + record[0]:])["state"]
        return state

    def runs_of(self, job):
        return [run for run in list(self.history)
                if run["task"].split(".")[0] == job]


def job_body(steps, spec):
    return json.dumps({"spec": json.dumps(spec), "steps": steps})


def main(case, run):
    """Runs a case: `run(fleet)` returns a text that says how the rule was broken, or
    an empty one."""
    # Whoever ends the script early ends the processes that it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = run(case)
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    print(f"BROKEN: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
