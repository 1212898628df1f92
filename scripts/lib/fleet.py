"""Starts daemons and simulated back ends as processes on loopback and sends requests to them."""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("CLEMENTINERILL_BUILD", os.path.join(ROOT, "build"))
START_TIMEOUT_S = 20
ADMIN_TOKEN = "fleet-admin-token-0"


class Process:
    """A child process that prints `listening <port>` once it accepts connections."""

    def __init__(self, name, command, log=subprocess.DEVNULL):
        self.name = name
        self.command = command
        self.child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=log, text=True)
        line = self.child.stdout.readline().split()
        if len(line) < 2 or line[0] != "listening":
            raise RuntimeError(f"{name} did not start")
        self.port = int(line[1])
        self.admin_port = int(line[3]) if len(line) > 3 else None

    def signal(self, number):
        self.child.send_signal(number)

    def stop(self, timeout_s=30):
        """Stops the process gracefully and returns its exit code."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        return self.child.wait(timeout_s)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()


def exchange(port, method, path, body=None, headers=None, timeout_s=10):
    """Sends one HTTP request and returns (status, headers, text) of the response."""
    connection = http_client(port, timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def http_client(port, timeout_s):
    return http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)


def free_ports(count):
    """Returns ports that were free when they were probed; another process may take them since."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for s in sockets:
            s.bind(("127.0.0.1", 0))
        return [s.getsockname()[1] for s in sockets]
    finally:
        for s in sockets:
            s.close()


def wait_until(condition, timeout_s, what):
    """Polls until the condition holds; raises RuntimeError after the timeout."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise RuntimeError(f"not reached within {timeout_s} s: {what}")


class Fleet:
    """A simulated platform, the upstreams of one pool and the daemons."""

    def __init__(self, services=10, replicas=3, daemons=3, slots=3, seats=3,
                 service_ms=4, connect_ms=6, connections=30, domains=3,
                 top=10, balancer_delay_ms=300, log_level="info"):
        self.services = services
        self.replicas = replicas
        self.slots = slots
        self.seats = seats
        self.service_ms = service_ms
        self.connect_ms = connect_ms
        self.connections = connections
        self.domains = domains
        self.top = top
        self.balancer_delay_ms = balancer_delay_ms
        self.log_level = log_level
        self.daemon_names = [f"daemon-{i}" for i in range(daemons)]
        self.folder = None
        self.peer_ports = {}
        self.platform = None
        self.upstreams = {}
        self.daemons = {}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        processes = list(self.daemons.values()) + list(self.upstreams.values())
        if self.platform:
            processes.append(self.platform)
        for process in processes:
            process.kill()
        if self.folder:
            shutil.rmtree(self.folder)

    def start(self):
        self.folder = tempfile.mkdtemp(prefix="clementinerill-")
        self.peer_ports = dict(zip(self.daemon_names,
                                   free_ports(len(self.daemon_names))))
        self.platform = Process(
            "platform", [f"{BUILD}/fakes/fake_platform", "--port", "0"])
        for service in range(self.services):
            for replica in range(self.replicas):
                self.start_upstream(service, replica)
        self.put_configuration(self.configuration())
        self.put_vms(self.daemon_names)
        for name in self.daemon_names:
            self.start_daemon(name)
        for name in self.daemon_names:
            self.wait_ready(name)

    def start_upstream(self, service, replica, port=0, offers="1@1"):
        name = f"claims-{service}-{replica}"
        self.upstreams[name] = Process(name, [
            f"{BUILD}/fakes/fake_upstream",
            "--port", str(port), "--slots", str(self.slots),
            "--connections", str(self.connections),
            "--connect-ms", str(self.connect_ms),
            "--service-ms", str(self.service_ms),
            "--partition", str(service), "--partitions", str(self.services),
            "--offers", offers])
        return self.upstreams[name]

    def start_daemon(self, name):
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            # JSON is a subset of YAML.
            json.dump(self.settings(name), file, indent=2)
        # Opened for appending, so that a restart of the daemon keeps the earlier log.
        with open(self.log_path(name), "a", encoding="utf-8") as log:
            self.daemons[name] = Process(name, [
                f"{BUILD}/src/clementinerill", "serve", "--settings", path,
                "--any-port"], log)

    def log_path(self, name):
        """Returns the path of a daemon's log file, which exists while the fleet runs."""
        return os.path.join(self.folder, f"{name}.log")

    def settings(self, name):
        """Returns the settings document of a daemon."""
        peers = [{"name": peer, "address": f"127.0.0.1:{port}"}
                 for peer, port in self.peer_ports.items() if peer != name]
        number = self.daemon_names.index(name)
        return {
            "name": name, "failure_domain": f"fd-{number % self.domains}",
            "caller_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0",
            "peer_listen": f"127.0.0.1:{self.peer_ports[name]}",
            "platform": f"127.0.0.1:{self.platform.port}",
            "admin_token": ADMIN_TOKEN, "peers": peers,
            "balancer_delay": f"{self.balancer_delay_ms}ms",
            "exchange_threads": 128, "caller_threads": 200,
            "max_request_bytes": "1MiB", "log_level": self.log_level}

    def wait_ready(self, name):
        port = self.daemons[name].port
        wait_until(lambda: exchange(port, "GET", "/readyz")[0] == 200,
                   START_TIMEOUT_S, f"{name} is ready")
        # Daemons learn the index snapshots that upstreams offer over established connections.
        wait_until(lambda: self.query(name, "claims-search", "warm-up")
                   .get("outcome") == "complete",
                   START_TIMEOUT_S, f"{name} answers completely")

    def configuration(self):
        services = []
        for service in range(self.services):
            upstreams = []
            for replica in range(self.replicas):
                name = f"claims-{service}-{replica}"
                upstreams.append({
                    "name": name, "address": "127.0.0.1",
                    "port": self.upstreams[name].port,
                    "failure_domain": f"fd-{replica % self.domains}",
                    "version": "v1",
                    "labels": {"app": "claims", "version": "v1"}})
            services.append({"name": f"claims-{service}", "pool": "claims",
                             "upstreams": upstreams})
        def route(name, kind, default_ms):
            return {"name": name, "kind": kind, "pool": "claims",
                    "selector": {"app": "claims"}, "top": self.top,
                    "default_deadline_ms": default_ms,
                    "longest_deadline_ms": 5000}
        return {
            "change_id": f"fleet-{time.monotonic_ns()}",
            "pools": [{"name": "claims", "slots": self.slots,
                       "connections": self.connections, "seats": self.seats}],
            "services": services,
            "routes": [route("claims-search", "sweep", 1000),
                       route("notice-lookup", "lookup", 500),
                       route("case-fetch", "fetch", 500),
                       route("face-hold", "hold", 2000)],
            "failure_domains": [{"name": f"fd-{d}"} for d in range(self.domains)]}

    def put_configuration(self, document):
        status, headers, _ = exchange(
            self.platform.port, "GET", "/objects/config/main")
        condition = ({"If-None-Match": "*"} if status == 404
                     else {"If-Match": headers["ETag"]})
        status, _, text = exchange(
            self.platform.port, "PUT", "/objects/config/main",
            json.dumps(document), condition)
        if status not in (200, 201):
            raise RuntimeError(f"writing the configuration failed: {status} {text}")

    def put_vms(self, names, leaving=()):
        rows = [{"name": n, "address": "127.0.0.1",
                 "state": "leaving" if n in leaving else "live"} for n in names]
        exchange(self.platform.port, "PUT", "/vms", json.dumps(rows))

    def status(self, daemon):
        """Returns the control plane state of a daemon."""
        return json.loads(exchange(self.daemons[daemon].admin_port,
                                   "GET", "/status")[2])["control"]

    def ports(self):
        return [d.port for d in self.daemons.values()]

    def query(self, daemon, route, text, headers=None):
        _, _, body = exchange(
            self.daemons[daemon].port, "POST", f"/v1/{route}",
            json.dumps({"query": text}), headers)
        return json.loads(body)

    def fault(self, upstream, **faults):
        exchange(self.upstreams[upstream].port, "POST", "/fault",
                 json.dumps(faults))

    def stats(self):
        """Returns the statistics of all upstreams that respond, by name."""
        result = {}
        for name, process in self.upstreams.items():
            try:
                result[name] = json.loads(
                    exchange(process.port, "GET", "/stats", timeout_s=2)[2])
            except OSError:
                continue
        return result

    def metrics(self):
        """Returns each metric summed over the daemons, by name with labels."""
        sums = {}
        for daemon in self.daemons.values():
            text = exchange(daemon.admin_port, "GET", "/metrics")[2]
            for line in text.splitlines():
                if line and not line.startswith("#") and "_bucket" not in line:
                    name, value = line.rsplit(" ", 1)
                    sums[name] = sums.get(name, 0) + float(value)
        return sums

    def load_command(self, ports=None, **options):
        command = [f"{BUILD}/fakes/load_tool"]
        for port in ports or self.ports():
            command += ["--port", str(port)]
        for name, value in options.items():
            flag = f"--{name.replace('_', '-')}"
            command += [flag] if value is True else [flag, str(value)]
        return command

    def start_load(self, ports=None, **options):
        return subprocess.Popen(self.load_command(ports, **options),
                                stdout=subprocess.PIPE, text=True)

    def load(self, ports=None, **options):
        """Runs the load tool to completion and returns its result."""
        return finish_load(self.start_load(ports, **options))


def finish_load(child):
    output, _ = child.communicate()
    return json.loads(output)
