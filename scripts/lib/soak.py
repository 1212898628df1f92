"""Randomized soak test of the gateway with fault injection and invariant checks.

Runs the gateway daemons as processes and injects faults into them, the replicas and the store.

Usage: soak.py --seed N [--seconds S] [--daemons N]. Prints each violated invariant and exits with 1 if there is one.
"""

import argparse
import asyncio
import hashlib
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

from soak_world import HOST, Proxy, RawJson, Replica, Store

SHARDS = 4
DOMAINS = ["z1", "z2", "z3"]
# Maximum time from the store's acceptance of a change until it is in force, from the users' requirements.
PROPAGATION_S = 3.0
# Time after the end of a fault until a daemon counts as reachable again, from the users' requirements.
RECOVERY_S = 4.0
# Deadlines of fan-out and hold requests, and the margin for scheduling delays on a loaded machine.
FAN_OUT_S, HOLD_S, MARGIN_S = 1.2, 3.0, 0.8


# Ports of the daemons. No other process uses them, as the address is that of this run, and they lie below the range
# from which the system takes those of proxies and connections.
daemon_ports = itertools.count(20000)


# Contents that another writer may leave in the store.
ODD_CONTENTS = [RawJson(text) for text in (
    "[" * 100000 + "]" * 100000, '{"service":"s","slots":1e999}', "tru", '"\\ud800"',
    '{"service":"s","zone":"z1","slots":4294967297,"state":"ready","address":"127.0.0.1:65536"}',
    '{"service":"s","zone":"z1","slots":1,"state":"ready","address":"127.0.0.1:1","cold_remaining_ms":1e300}')]


class Daemon:
    """A gateway process and its settings file; only this class sends it signals, by process ID."""

    def __init__(self, world, index, binary, folder):
        self.world, self.binary, self.name = world, binary, f"vm-{index}"
        self.front, self.ready, self.control = (next(daemon_ports) for _ in range(3))
        self.store_proxy = Proxy(world.store.port)
        self.domain = DOMAINS[index % len(DOMAINS)]
        self.settings = os.path.join(folder, f"{self.name}.yaml")
        self.log = os.path.join(folder, f"{self.name}.log")
        self.process, self.disturbed_until, self.exits = None, 0.0, 0

    async def start(self, seeds):
        if not self.store_proxy.port:
            await self.store_proxy.start()
        text = (f"node: {self.name}\nzone: {self.domain}\nip: {HOST}\ninternal_ports: []\n"
                f"listen: {{front: '{HOST}:{self.front}', ready: '{HOST}:{self.ready}',"
                f" control: '{HOST}:{self.control}'}}\nseeds: {seeds}\n"
                f"platform: {{address: '{HOST}:{self.store_proxy.port}'}}\nbounds: {{grace_s: 6}}\n")
        with open(self.settings, "w") as file:
            file.write(text)
        environment = dict(os.environ, CLEMENTINERILL_NODE_FILE=self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([self.binary, "gateway"], env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def mark_disturbed(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def is_stable(self):
        return time.monotonic() > self.disturbed_until + RECOVERY_S


class World:
    def __init__(self, arguments, folder):
        self.random = random.Random(arguments.seed)
        random.seed(arguments.seed)
        self.store = Store()
        self.executions, self.violations, self.counts = {}, [], {}
        self.version, self.accepted_at, self.marker = 1, 0.0, "m1"
        self.folder, self.arguments = folder, arguments
        self.replicas = [Replica(self, f"r{shard}{domain}", f"shard-{shard}", domain)
                         for shard in range(SHARDS) for domain in DOMAINS]
        self.replicas += [Replica(self, f"h{i}", "hold", DOMAINS[i % 3]) for i in range(4)]
        self.stop_at = 0.0

    @staticmethod
    def body_of(stamp):
        return hashlib.sha256(stamp.encode()).digest()

    def record_execution(self, request_id, replica, method, target, body):
        self.executions.setdefault(request_id, []).append((replica.service, method, target, body))

    def record_violation(self, promise, detail):
        self.violations.append(f"{promise}: {detail}")
        print(f"soak: seed {self.arguments.seed}: broken: {promise}: {detail}", flush=True)

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def configuration(self):
        sweep = {"name": "sweep", "host": "s.example", "path_prefix": "/s/", "kind": "safe",
                 "timeout_ms": int(FAN_OUT_S * 1000), "goal_ms": 150, "max_attempts": 2, "top_k": 4, "min_share": 0.5,
                 "gather": [f"shard-{i}" for i in range(SHARDS)]}
        hold = {"name": "hold", "host": "h.example", "path_prefix": "/h/", "kind": "unsafe",
                "timeout_ms": int(HOLD_S * 1000), "goal_ms": 500, "max_attempts": 2, "service": "hold"}
        marker = dict(hold, name="marker", path_prefix=f"/{self.marker}/", kind="safe")
        return {"version": self.version, "routes": [sweep, hold, marker], "services": []}

    async def change_configuration(self):
        self.version += self.random.randint(1, 5)
        self.marker = f"m{self.version}"
        await self.store.put("config", "main", self.configuration())
        self.accepted_at = time.monotonic()


async def exchange(port, request, timeout):
    """Sends a request on a new connection; returns (status, headers, body), or None without a complete response."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), 1)
        writer.write(request)
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)).decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:] if line)}
        body = await asyncio.wait_for(reader.readexactly(int(headers.get("content-length", 0))), timeout)
        return int(head[0].split(" ")[1]), headers, body
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


def request_bytes(method, host, target, request_id, deadline_s, body=b""):
    head = (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Request-Deadline: {int(deadline_s * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


def check_fan_out(world, request_id, response):
    _, headers, body = response
    stamps = [s.strip() for s in headers.get("x-part-stamps", "").split(",") if s.strip()]
    shards = [stamp.split(".")[0][1] for stamp in stamps]
    missing = int(headers.get("x-missing-parts", "0"))
    if any(stamp.split(".", 1)[1] != request_id for stamp in stamps):
        world.record_violation("each caller gets the answer to its own request", request_id)
    if len(set(shards)) != len(shards) or len(shards) + missing != SHARDS or len(shards) * 2 < SHARDS:
        world.record_violation("the coverage an answer reports is true", f"{request_id} {stamps} missing {missing}")
    records = sorted((world.body_of(s)[i:i + 16] for s in stamps for i in (0, 16)), reverse=True)
    if body != b"".join(records[:4]):
        world.record_violation("an answer holds the greatest records of its parts", request_id)


async def fan_out_caller(world, daemons, index):
    number = 0
    while time.monotonic() < world.stop_at:
        number += 1
        daemon, request_id = world.random.choice(daemons), f"s{index}-{number}"
        started = time.monotonic()
        response = await exchange(daemon.front, request_bytes("GET", "s.example", "/s/1", request_id, FAN_OUT_S), 5)
        elapsed = time.monotonic() - started
        world.count("sweep " + (str(response[0]) if response else "none"))
        if response and response[0] == 200:
            check_fan_out(world, request_id, response)
        if elapsed > FAN_OUT_S + MARGIN_S and daemon.is_stable():
            world.record_violation("a caller is not held beyond its deadline",
                                   f"{request_id} {elapsed:.2f} s at {daemon.name}")
        await asyncio.sleep(world.random.expovariate(12))


async def hold_caller(world, daemons, index):
    number = 0
    while time.monotonic() < world.stop_at:
        number += 1
        daemon, request_id = world.random.choice(daemons), f"h{index}-{number}"
        body = request_id.encode() * 20
        response = await exchange(daemon.front,
                                request_bytes("POST", "h.example", "/h/1", request_id, HOLD_S, body), 6)
        world.count("hold " + (str(response[0]) if response else "none"))
        await asyncio.sleep(0.05)
        runs = world.executions.get(request_id, [])
        if len(runs) > 1:
            world.record_violation("a non-idempotent request runs at most once", f"{request_id} {len(runs)} runs")
        if any(run[1:] != ("POST", "/h/1", body) for run in runs):
            world.record_violation("a request reaches its replica unchanged", request_id)
        if response and response[0] in (429, 503) and runs:
            world.record_violation("a refusal that says not run is true", request_id)
        if response and response[0] == 200 and response[1].get("x-request-id") != request_id:
            world.record_violation("each caller gets the answer to its own request", request_id)
        await asyncio.sleep(world.random.expovariate(8))


async def version_checker(world, daemons):
    """Checks that each daemon applies the newest route in time and that no process reverts to an older one."""
    seen = {}
    while time.monotonic() < world.stop_at:
        await asyncio.sleep(0.2)
        marker, version, accepted_at = world.marker, world.version, world.accepted_at
        for daemon in daemons:
            asked = time.monotonic()
            process = daemon.process.pid if daemon.is_running() else None
            response = await exchange(daemon.front,
                                    request_bytes("GET", "h.example", f"/{marker}/1", f"v-{version}", 1), 2)
            if not response or not daemon.is_running() or daemon.process.pid != process or marker != world.marker:
                continue
            if response[0] != 404:
                seen[process] = max(seen.get(process, 0), version if response[0] == 200 else 0)
            elif seen.get(process, 0) >= version:
                world.record_violation("an accepted configuration never reverts", f"{marker} at {daemon.name}")
            elif daemon.is_stable() and world.store_stable_since + RECOVERY_S < asked \
                    and asked > accepted_at + PROPAGATION_S:
                world.record_violation("an accepted configuration is in force within seconds",
                                       f"{marker} at {daemon.name}")


async def restart_exited(world, daemons):
    while time.monotonic() < world.stop_at:
        for daemon in daemons:
            if not daemon.is_running() and daemon.process is not None:
                if daemon.process.returncode not in (0, -signal.SIGKILL):
                    world.record_violation("a daemon does not end by itself",
                                           f"{daemon.name} {daemon.process.returncode}")
                await asyncio.sleep(0.1)
                await daemon.start(world.seeds)
                daemon.mark_disturbed(1.0)
        await asyncio.sleep(0.1)


async def inject_daemon_fault(world, daemons):
    target, length = world.random.choice(daemons), world.random.uniform(0.3, 3)
    kind = world.random.choice(["kill", "term", "pause", "hup", "cut", "reset", "half", "refuse", "herd"])
    world.count("fault " + kind)
    target.mark_disturbed(length + 8 if kind == "term" else length + 1)
    if kind == "kill":
        target.send(signal.SIGKILL)
    elif kind == "term":
        target.send(signal.SIGTERM)
    elif kind == "hup":
        target.send(signal.SIGHUP)
    elif kind == "pause":
        target.send(signal.SIGSTOP)
        await asyncio.sleep(length)
        target.send(signal.SIGCONT)
    elif kind == "reset":
        target.store_proxy.reset_all()
    elif kind == "herd":
        for daemon in daemons:
            daemon.mark_disturbed(1.5)
            daemon.send(signal.SIGKILL)
    else:
        attribute = {"cut": "silent", "half": "cut_back", "refuse": "refuses"}[kind]
        setattr(target.store_proxy, attribute, True)
        await asyncio.sleep(length)
        target.store_proxy.heal()
        target.store_proxy.reset_all()


async def inject_replica_fault(world):
    replica, length = world.random.choice(world.replicas), world.random.uniform(0.5, 4)
    kind = world.random.choice(["slow", "sheds", "loses", "twice", "silent", "refuses", "reset", "leaves", "limits"])
    world.count("fault replica " + kind)
    if kind in ("silent", "refuses"):
        setattr(replica.proxy, kind, True)
    elif kind == "reset":
        replica.proxy.reset_all()
    elif kind == "leaves":
        await world.store.put("servers", replica.name, replica.entry("draining"))
    else:
        setattr(replica, kind, {"slow": 20.0}.get(kind, 0.5))
    await asyncio.sleep(length)
    replica.heal()
    if kind == "silent":
        replica.proxy.reset_all()
    await world.store.put("servers", replica.name, replica.entry())


async def inject_store_fault(world):
    length = world.random.uniform(0.3, 3)
    kind = world.random.choice(["busy", "silent", "loses", "compact", "forged", "odd", "lapse", "config", "storm",
                                "restore"])
    world.count("fault store " + kind)
    if kind == "config":
        await world.change_configuration()
        return
    if kind == "storm":
        for _ in range(8):
            await world.change_configuration()
            await asyncio.sleep(0.1)
        return
    if kind == "forged":
        await world.store.put("servers", "forged", world.random.choice([{"service": 3}, "text", [1], {}]))
        return
    if kind == "odd":
        object_kind = world.random.choice(["servers", "servers", "rollouts", "evacuations", "clementinerill-daemons"])
        await world.store.put(object_kind, f"odd-{world.random.randint(1, 3)}", world.random.choice(ODD_CONTENTS))
        return
    world.store_stable_since = time.monotonic() + length
    if kind == "compact":
        world.store.compact()
    elif kind == "restore":
        world.store.busy = True
        await asyncio.sleep(length)
        await world.store.restore(world.random.uniform(1, 9))
        world.store.busy = False
        world.store_stable_since = time.monotonic()
        # The operator and the replicas repeat what they wrote.
        await world.store.put("config", "main", world.configuration())
        for replica in world.replicas:
            await world.store.put("servers", replica.name, replica.entry())
        return
    elif kind in ("busy", "silent"):
        setattr(world.store, kind, True)
    elif kind == "loses":
        world.store.loses = 0.5
    elif kind == "lapse":
        world.store.busy = True
        for replica in world.replicas:
            await world.store.put("servers", replica.name, None)
    await asyncio.sleep(length)
    world.store.busy, world.store.silent, world.store.loses = False, False, 0.0
    world.store_stable_since = time.monotonic()
    for replica in world.replicas:
        await world.store.put("servers", replica.name, replica.entry())


async def keep_copies(world):
    while time.monotonic() < world.stop_at:
        world.store.keep_copy()
        await asyncio.sleep(0.5)


async def inject_faults(world, inject, *arguments):
    while time.monotonic() < world.stop_at - RECOVERY_S:
        await asyncio.sleep(world.random.expovariate(0.8))
        await inject(world, *arguments)


async def soak(world):
    await world.store.start()
    world.store_stable_since = time.monotonic()
    for replica in world.replicas:
        await replica.start()
        await world.store.put("servers", replica.name, replica.entry())
    await world.change_configuration()
    daemons = [Daemon(world, i, world.arguments.binary, world.folder) for i in range(world.arguments.daemons)]
    world.seeds = [f"{HOST}:{daemon.control}" for daemon in daemons[:3]]
    for daemon in daemons:
        await daemon.start(world.seeds)
        daemon.mark_disturbed(1.0)
    world.stop_at = time.monotonic() + world.arguments.seconds
    try:
        await asyncio.gather(
            *(fan_out_caller(world, daemons, i) for i in range(6)), *(hold_caller(world, daemons, i) for i in range(4)),
            version_checker(world, daemons), restart_exited(world, daemons), keep_copies(world),
            inject_faults(world, inject_daemon_fault, daemons), inject_faults(world, inject_replica_fault),
            inject_faults(world, inject_replica_fault), inject_faults(world, inject_store_fault))
        if world.counts.get("sweep 200", 0) == 0 or world.counts.get("hold 200", 0) == 0:
            world.record_violation("callers are served", str(world.counts))
    finally:
        for daemon in daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
            if daemon.process:
                daemon.process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--daemons", type=int, default=5)
    build = os.environ.get("CLEMENTINERILL_BUILD", "build")
    parser.add_argument("--binary", default=os.path.join(build, "src", "clementinerill"))
    parser.add_argument("--keep", help="directory for logs; by default a temporary one, printed on failure")
    arguments = parser.parse_args()
    folder = arguments.keep or tempfile.mkdtemp(prefix=f"soak-{arguments.seed}-")
    os.makedirs(folder, exist_ok=True)
    world = World(arguments, folder)
    asyncio.run(run_and_exit(world))


async def run_and_exit(world):
    """Runs the soak, prints the result and ends the process.

    Ends it at once, because the end of an event loop waits for all tasks that it cancels, and a task of a server or
    proxy that is still waiting may not notice.
    """
    arguments = world.arguments
    await soak(world)
    print(f"soak: seed {arguments.seed}: {'failed' if world.violations else 'passed'}, "
          + ", ".join(f"{what} {n}" for what, n in sorted(world.counts.items())))
    if world.violations:
        print(f"soak: logs in {world.folder}")
    sys.stdout.flush()
    os._exit(1 if world.violations else 0)


if __name__ == "__main__":
    main()
