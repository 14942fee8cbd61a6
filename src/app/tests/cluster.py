"""Starts the real processes on loopback addresses, for the demo and the tests.

One cluster is a stand-in platform, gateways and schedulers, each a process of
its own with a settings file in a temporary folder. Only the standard library
is used.
"""

import http.client
import json
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

# Bounds on waiting; generous, since machines are shared.
START_SECONDS = 30
WAIT_SECONDS = 60
POLL_SECONDS = 0.05


class Failure(Exception):
    """A step did not give what it should."""


def wait_for(what, test, seconds=WAIT_SECONDS):
    """Returns the first true value of test(); fails after `seconds`."""
    deadline = time.monotonic() + seconds
    while True:
        value = test()
        if value:
            return value
        if time.monotonic() > deadline:
            raise Failure(f"not within {seconds} s: {what}")
        time.sleep(POLL_SECONDS)


def call(address, method, path, body=None, headers=None, seconds=10):
    """One HTTP exchange; returns (status, headers, body text)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


def try_call(address, method, path, **arguments):
    """Like call(), with None instead of an exception."""
    try:
        return call(address, method, path, **arguments)
    except (OSError, http.client.HTTPException):
        return None


class Process:
    """One process; its output goes to files in the cluster's folder."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.out_path = folder / f"{name}.out"
        self.error_path = folder / f"{name}.err"
        # A process of the same name may have written before.
        self.out_before = self.out_path.stat().st_size if self.out_path.exists() else 0
        with self.out_path.open("ab") as out, self.error_path.open("ab") as error:
            self.popen = subprocess.Popen(
                [str(argument) for argument in arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=error,
            )

    def listen_line(self):
        """The line of standard output that says where it listens."""

        def find():
            if self.popen.poll() is not None:
                raise Failure(
                    f"{self.name} ended with {self.popen.returncode}: "
                    + self.error_path.read_text()[-2000:]
                )
            lines = self.out_path.read_text()[self.out_before :].splitlines()
            return next((line for line in lines if " listens " in line), None)

        return wait_for(f"{self.name} listens", find, START_SECONDS)

    def send(self, number):
        self.popen.send_signal(number)

    def wait(self, seconds=WAIT_SECONDS):
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            raise Failure(f"{self.name} did not end within {seconds} s") from None

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class Cluster:
    """A stand-in platform with gateways and schedulers."""

    def __init__(
        self,
        programs,
        zones,
        pool,
        workers=6,
        rack_size=2,
        gateways=2,
        schedulers=2,
        standin=None,
        work=None,
    ):
        self.programs = pathlib.Path(programs)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="carobmast-"))
        self.processes = []
        self.reserved = []
        self.zones = zones
        self.work = work or {}
        self.daemons = {}
        settings = {
            "listen": "127.0.0.1:0",
            "zones": zones,
            "workers": workers,
            "rack_size": rack_size,
            "pool": pool,
            "vm_list_lag": "500ms",
            "usage_lag": "500ms",
        }
        settings.update(standin or {})
        self.standin = self.start(
            "standin",
            [self.programs / "carobmast_standin", "--settings", self.write("standin", settings)],
        )
        self.platform = self.standin.listen_line().split()[-1]
        for number in range(gateways):
            self.plan("gateway", number)
        for number in range(schedulers):
            self.plan("scheduler", number)

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        self.close(keep=error is not None)

    def close(self, keep=False):
        """Ends all processes; keeps the folder after a failure."""
        for process in reversed(self.processes):
            process.kill()
        for held in self.reserved:
            held.close()
        if keep:
            print(f"kept for inspection: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def reserve(self, ip):
        """A free port. It stays bound here, not listening, so that nothing else
        gets it; the process binds it too (SO_REUSEADDR)."""
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((ip, 0))
        self.reserved.append(held)
        return f"{ip}:{held.getsockname()[1]}"

    def write(self, name, settings):
        """JSON is YAML."""
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings, indent=1))
        return path

    def start(self, name, arguments):
        process = Process(name, arguments, self.folder)
        self.processes.append(process)
        return process

    def plan(self, role, number):
        """Chooses the addresses of a daemon without starting it."""
        name = f"{role}-{number + 1}"
        ip = f"127.0.0.{(10 if role == 'gateway' else 30) + number}"
        daemon = {
            "role": role,
            "zone": self.zones[number % len(self.zones)],
            "operator": self.reserve(ip),
            "link": self.reserve(ip),
            "process": None,
        }
        if role == "gateway":
            daemon["callers"] = self.reserve(ip)
        self.daemons[name] = daemon

    def start_daemon(self, name, log_service=None, **more):
        """Starts a planned daemon, at its addresses, with all others as peers.

        `more` are further settings.
        """
        daemon = self.daemons[name]
        settings = {
            "name": name,
            "zone": daemon["zone"],
            "operator_address": daemon["operator"],
            "link_address": daemon["link"],
            "peers": [
                {"name": other, "zone": peer["zone"], "link": peer["link"]}
                for other, peer in self.daemons.items()
                if other != name
            ],
            "log_service": log_service or self.platform,
            "vm_list": self.platform,
            **more,
        }
        if daemon["role"] == "gateway":
            settings["callers_address"] = daemon["callers"]
        elif self.work:
            settings["work"] = self.work
        path = self.write(name, settings)
        program = self.programs / "carobmast"
        daemon["process"] = self.start(name, [program, daemon["role"], "--settings", path])
        daemon["process"].listen_line()
        return daemon["process"]

    def start_daemons(self):
        for name in self.daemons:
            self.start_daemon(name)

    def names(self, role):
        return [name for name, daemon in self.daemons.items() if daemon["role"] == role]

    def process(self, name):
        return self.daemons[name]["process"]

    def operator(self, name):
        return self.daemons[name]["operator"]

    def callers(self, name):
        return self.daemons[name]["callers"]

    def is_ready(self, name):
        answer = try_call(self.operator(name), "GET", "/readyz")
        return answer is not None and answer[0] == 200

    def wait_ready(self, names=None):
        for name in names or self.daemons:
            wait_for(f"{name} is ready", lambda name=name: self.is_ready(name))

    def command(self, *arguments, seconds=WAIT_SECONDS):
        """Runs one command of the product; returns (exit code, output, errors)."""
        done = subprocess.run(
            [str(self.programs / "carobmast"), *[str(argument) for argument in arguments]],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=seconds,
            check=False,
        )
        return done.returncode, done.stdout, done.stderr

    def run(self, *arguments, code=0, seconds=WAIT_SECONDS):
        """Runs one command that must end with `code`; returns its output."""
        got, output, errors = self.command(*arguments, seconds=seconds)
        if got != code:
            raise Failure(
                f"carobmast {' '.join(str(a) for a in arguments)}: exit {got}, "
                f"expected {code}: {errors.strip()} {output.strip()}"
            )
        return output

    def status(self, name):
        """What a daemon says at /status, or None while it can't be asked."""
        code, output, _ = self.command("status", "--scheduler", self.operator(name), "--output", "json")
        return json.loads(output) if code == 0 else None

    def fault(self, kind, **fields):
        status, _, body = call(
            self.platform, "POST", "/control/fault", json.dumps({"kind": kind, **fields})
        )
        if status != 200:
            raise Failure(f"fault {kind}: {body}")

    def clear(self):
        call(self.platform, "POST", "/control/clear", "{}")

    def log(self, stream):
        _, _, body = call(self.platform, "GET", f"/log/{stream}?from=1&max=10000")
        return json.loads(body)["records"]

    def executions(self, owner=None):
        """Every period in which an attempt ran, by the workers' word: of one task,
        of the tasks of one submission or object, or of all."""
        _, _, body = call(self.platform, "GET", "/control/executions")
        return [
            execution
            for execution in json.loads(body)["executions"]
            if owner in (None, execution["task"], execution["task"].rsplit("/", 1)[0])
        ]

    def request_runs(self):
        """How often each request id ran, over all instances."""
        _, _, body = call(self.platform, "GET", "/control/requests")
        return json.loads(body)["runs"]

    def stop(self, name):
        """A planned stop; returns the exit code."""
        self.process(name).send(signal.SIGTERM)
        return self.process(name).wait()


class TcpProxy:
    """Passes connections on to one address until it is cut."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.is_cut = False
        self.sockets = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            # While it is cut, connections are taken and nothing is passed on.
            with self.lock:
                self.sockets.append(caller)
                if self.is_cut:
                    continue
                try:
                    target = socket.create_connection(self.target)
                except OSError:
                    caller.close()
                    continue
                self.sockets.append(target)
            for source, sink in ((caller, target), (target, caller)):
                threading.Thread(target=self.pass_on, args=(source, sink), daemon=True).start()

    def pass_on(self, source, sink):
        try:
            while data := source.recv(65536):
                if self.is_cut:
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def cut(self):
        """From now on every byte is lost; connections stay open."""
        self.is_cut = True

    def heal(self):
        """Closes what is open, as a network does after a long cut."""
        self.is_cut = False
        with self.lock:
            for each in self.sockets:
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                each.close()
            self.sockets.clear()

    def close(self):
        self.listener.close()
        self.heal()


def check_one_place(executions):
    """Fails when two periods of one task overlap."""
    by_task = {}
    for execution in executions:
        by_task.setdefault(execution["task"], []).append(execution)
    for task, periods in by_task.items():
        periods.sort(key=lambda period: period["from_ms"])
        for before, after in zip(periods, periods[1:]):
            if before["to_ms"] is None or before["to_ms"] > after["from_ms"]:
                raise Failure(f"{task} ran in two places: {before} and {after}")


def check_finished_once(executions, tasks):
    """Fails unless `tasks` tasks each finished exactly once."""
    finished = {}
    for execution in executions:
        if execution["state"] == "finished":
            finished[execution["task"]] = finished.get(execution["task"], 0) + 1
    if len(finished) != tasks or any(count != 1 for count in finished.values()):
        raise Failure(f"expected {tasks} tasks to finish once each, found {finished}")


def check_capacity(executions, milli_cpus, memory_bytes):
    """Fails when a worker ran more at one moment than it has."""
    changes = {}
    for period in executions:
        start = (period["from_ms"], 1, period["milli_cpus"], period["memory_bytes"])
        changes.setdefault(period["worker"], []).append(start)
        if period["to_ms"] is not None:
            end = (period["to_ms"], 0, -period["milli_cpus"], -period["memory_bytes"])
            changes[period["worker"]].append(end)
    for worker, steps in changes.items():
        cpus = memory = 0
        for at_ms, _, cpu_step, memory_step in sorted(steps):
            cpus += cpu_step
            memory += memory_step
            if cpus > milli_cpus or memory > memory_bytes:
                raise Failure(f"{worker} held {cpus} milli-CPUs and {memory} bytes at {at_ms} ms")
