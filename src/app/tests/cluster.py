"""Runs a cluster of real processes on loopback addresses.

A cluster consists of a stand-in platform, gateways and schedulers. Each is a
separate process with a settings file in a temporary folder. The demo and the
end-to-end tests use it. It needs only the standard library.
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

# Timeouts are generous because test machines are shared.
START_TIMEOUT_SECONDS = 30
WAIT_TIMEOUT_SECONDS = 60
POLL_INTERVAL_SECONDS = 0.05


class Failure(Exception):
    """A step did not produce the expected result."""


def wait_for(description, condition, seconds=WAIT_TIMEOUT_SECONDS):
    """Polls condition() and returns its first true value.

    Raises Failure after `seconds`; `description` completes its message.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise Failure(f"timed out after {seconds} s: {description}")
        time.sleep(POLL_INTERVAL_SECONDS)


def call(address, method, path, body=None, headers=None, seconds=10):
    """Sends one HTTP request; returns (status, headers, body text)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def try_call(address, method, path, **arguments):
    """Like call(), but returns None on a network or HTTP protocol error."""
    try:
        return call(address, method, path, **arguments)
    except (OSError, http.client.HTTPException):
        return None


class Process:
    """A child process whose output goes to files in the cluster's folder."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.stdout_path = folder / f"{name}.out"
        self.stderr_path = folder / f"{name}.err"
        # An earlier process of the same name may have written to the file.
        self.stdout_offset = self.stdout_path.stat().st_size if self.stdout_path.exists() else 0
        with self.stdout_path.open("ab") as out, self.stderr_path.open("ab") as error:
            self.popen = subprocess.Popen(
                [str(argument) for argument in arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=error,
            )

    def listen_line(self):
        """Waits for the line on standard output that names its listen address."""

        def find_line():
            if self.popen.poll() is not None:
                raise Failure(
                    f"{self.name} exited with code {self.popen.returncode}: "
                    + self.stderr_path.read_text()[-2000:]
                )
            lines = self.stdout_path.read_text()[self.stdout_offset :].splitlines()
            return next((line for line in lines if " listens " in line), None)

        return wait_for(f"{self.name} listens", find_line, START_TIMEOUT_SECONDS)

    def send(self, signal_number):
        self.popen.send_signal(signal_number)

    def wait(self, seconds=WAIT_TIMEOUT_SECONDS):
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            raise Failure(f"{self.name} did not exit within {seconds} s") from None

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class Cluster:
    """A stand-in platform with gateways and schedulers.

    `programs` is the folder with the executables, `standin` overrides settings
    of the stand-in platform, and `work` holds the schedulers' `work` settings.
    """

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
        self.reserved_sockets = []
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
            [
                self.programs / "carobmast_standin",
                "--settings",
                self.write_settings("standin", settings),
            ],
        )
        self.platform = self.standin.listen_line().split()[-1]
        for number in range(gateways):
            self.define_daemon("gateway", number)
        for number in range(schedulers):
            self.define_daemon("scheduler", number)

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        self.close(keep=error is not None)

    def close(self, keep=False):
        """Kills all processes; deletes the folder unless `keep` is set."""
        for process in reversed(self.processes):
            process.kill()
        for reserved_socket in self.reserved_sockets:
            reserved_socket.close()
        if keep:
            print(f"kept for inspection: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def reserve(self, ip):
        """Reserves a free port and returns its address.

        A socket that doesn't listen keeps the port bound, so that no other
        process gets it. SO_REUSEADDR lets the daemon bind the port as well.
        """
        reserved_socket = socket.socket()
        reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved_socket.bind((ip, 0))
        self.reserved_sockets.append(reserved_socket)
        return f"{ip}:{reserved_socket.getsockname()[1]}"

    def write_settings(self, name, settings):
        """Writes a settings file. It holds JSON, which is valid YAML."""
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings, indent=1))
        return path

    def start(self, name, arguments):
        process = Process(name, arguments, self.folder)
        self.processes.append(process)
        return process

    def define_daemon(self, role, number):
        """Reserves the addresses of a daemon without starting it."""
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

    def start_daemon(self, name, log_service=None, **extra_settings):
        """Starts a defined daemon with all other daemons as its peers.

        `log_service` defaults to the stand-in platform. `extra_settings`
        are added to the settings.
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
            **extra_settings,
        }
        if daemon["role"] == "gateway":
            settings["callers_address"] = daemon["callers"]
        elif self.work:
            settings["work"] = self.work
        path = self.write_settings(name, settings)
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

    def command(self, *arguments, seconds=WAIT_TIMEOUT_SECONDS):
        """Runs a carobmast command; returns (exit code, stdout, stderr)."""
        done = subprocess.run(
            [str(self.programs / "carobmast"), *[str(argument) for argument in arguments]],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=seconds,
            check=False,
        )
        return done.returncode, done.stdout, done.stderr

    def run(self, *arguments, code=0, seconds=WAIT_TIMEOUT_SECONDS):
        """Runs a carobmast command that must exit with `code`; returns its stdout."""
        actual_code, output, errors = self.command(*arguments, seconds=seconds)
        if actual_code != code:
            raise Failure(
                f"carobmast {' '.join(str(a) for a in arguments)}: exit code {actual_code}, "
                f"expected {code}: {errors.strip()} {output.strip()}"
            )
        return output

    def status(self, name):
        """Returns the /status page of a daemon, or None if the command fails."""
        code, output, _ = self.command(
            "status", "--scheduler", self.operator(name), "--output", "json"
        )
        return json.loads(output) if code == 0 else None

    def inject_fault(self, kind, **fields):
        status, _, body = call(
            self.platform, "POST", "/control/fault", json.dumps({"kind": kind, **fields})
        )
        if status != 200:
            raise Failure(f"fault {kind} was not injected: {body}")

    def clear_faults(self):
        call(self.platform, "POST", "/control/clear", "{}")

    def read_log(self, stream):
        _, _, body = call(self.platform, "GET", f"/log/{stream}?from=1&max=10000")
        return json.loads(body)["records"]

    def executions(self, task_or_parent=None):
        """Returns each execution of a task attempt, as the workers recorded it.

        `task_or_parent` limits them to one task, or to the tasks of one
        submission or configuration object.
        """
        _, _, body = call(self.platform, "GET", "/control/executions")
        return [
            execution
            for execution in json.loads(body)["executions"]
            if task_or_parent in (None, execution["task"], execution["task"].rsplit("/", 1)[0])
        ]

    def request_runs(self):
        """Returns how many times each request id ran, over all instances."""
        _, _, body = call(self.platform, "GET", "/control/requests")
        return json.loads(body)["runs"]

    def stop(self, name):
        """Stops a daemon with SIGTERM; returns its exit code."""
        self.process(name).send(signal.SIGTERM)
        return self.process(name).wait()


class TcpProxy:
    """Forwards TCP connections to one address; cut() simulates a partition."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.is_cut = False
        self.sockets = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            # While it is cut, connections are accepted but nothing is forwarded.
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
                threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    def forward(self, source, sink):
        try:
            while data := source.recv(65536):
                if self.is_cut:
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def cut(self):
        """Drops all further bytes; connections stay open."""
        self.is_cut = True

    def heal(self):
        """Closes the open connections, as happens after a long partition."""
        self.is_cut = False
        with self.lock:
            for open_socket in self.sockets:
                try:
                    open_socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                open_socket.close()
            self.sockets.clear()

    def close(self):
        self.listener.close()
        self.heal()


def check_one_place(executions):
    """Raises Failure if two executions of one task overlap in time."""
    by_task = {}
    for execution in executions:
        by_task.setdefault(execution["task"], []).append(execution)
    for task, periods in by_task.items():
        periods.sort(key=lambda period: period["from_ms"])
        for before, after in zip(periods, periods[1:]):
            if before["to_ms"] is None or before["to_ms"] > after["from_ms"]:
                raise Failure(f"{task} ran in two places at once: {before} and {after}")


def check_finished_once(executions, tasks):
    """Raises Failure unless `tasks` tasks finished, each exactly once."""
    finished = {}
    for execution in executions:
        if execution["state"] == "finished":
            finished[execution["task"]] = finished.get(execution["task"], 0) + 1
    if len(finished) != tasks or any(count != 1 for count in finished.values()):
        raise Failure(f"expected {tasks} tasks to finish once each, found {finished}")


def check_capacity(executions, milli_cpus, memory_bytes):
    """Raises Failure if a worker ever ran more than its capacity."""
    changes_by_worker = {}
    for period in executions:
        start = (period["from_ms"], 1, period["milli_cpus"], period["memory_bytes"])
        changes_by_worker.setdefault(period["worker"], []).append(start)
        if period["to_ms"] is not None:
            end = (period["to_ms"], 0, -period["milli_cpus"], -period["memory_bytes"])
            changes_by_worker[period["worker"]].append(end)
    for worker, changes in changes_by_worker.items():
        cpus = memory = 0
        for at_ms, _, cpu_step, memory_step in sorted(changes):
            cpus += cpu_step
            memory += memory_step
            if cpus > milli_cpus or memory > memory_bytes:
                raise Failure(f"{worker} ran {cpus} milli-CPUs and {memory} bytes at {at_ms} ms")
