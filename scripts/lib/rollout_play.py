"""Plays rollouts of good and bad versions against gateway processes and counts what the bad versions got.

One store, nine daemons, and a service for each kind of version, each with an order of the same length. Callers send at the
rate of the service; the operator stops the replicas of the version that lost, as the platform does.

Usage: rollout_play.py [--seed N] [--order-s S] [--trouble NAME] [--services NAME,...] [--binary FILE]. Prints a line for
each service and exits with 1 if a bad version got more than the bound, or was completed, or a good one was not.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field

from soak import DOMAINS, HOST, Daemon, exchange, request_bytes
from soak_world import Replica, Store, response_bytes

# Bounds of the users' platform: share of the requests between order and deadline, requests beyond it, and the time after
# the fiftieth bad response from which on a bad version gets nothing.
EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_S = 0.1, 50, 5.0
# A usual day of the quietest service of the users' sites, and a busy one.
QUIET, BUSY = 5.6, 30.0
REPLICAS = 3
# Time for which callers go on after the deadline of the orders.
AFTER_S = 14.0


@dataclass
class Fault:
    """What is wrong with a version: `share` of its responses fail, or take `slow` times as long."""

    share: float = 0.0
    slow: float = 0.0
    after: float = 0.0  # Share of the order's time before the fault begins.
    prefix: str = "/"  # Only requests below this path.
    load: float = 0.0  # Only above this many requests a second.


@dataclass
class Service:
    name: str
    rate: float
    fault: Fault
    base: float = 0.0  # Share of the responses of the current version that fail.
    work_s: float = 0.02  # Usual time of a response.
    ordered: float = 0.0
    arrivals: list = field(default_factory=list)  # (time, version, is bad)
    answers: int = 0
    decided: tuple = None

    def is_bad(self):
        return self.fault.share > 0


SERVICES = [
    Service("quiet-quarter", QUIET, Fault(share=0.25)),
    Service("quiet-half", QUIET, Fault(share=0.5)),
    Service("quiet-all", QUIET, Fault(share=1.0)),
    Service("quiet-slow", QUIET, Fault(share=1.0, slow=6.0)),
    Service("quiet-good", QUIET, Fault()),
    Service("busy-quarter", BUSY, Fault(share=0.25)),
    Service("busy-slow", BUSY, Fault(share=1.0, slow=4.0)),
    Service("busy-late", BUSY, Fault(share=0.5, after=0.6)),
    Service("busy-route", BUSY, Fault(share=0.6, prefix="/b/")),
    Service("busy-load", BUSY, Fault(share=0.6, load=2.5)),
    Service("busy-half-load", BUSY, Fault(share=0.6, load=BUSY / 2)),
    Service("busy-base", BUSY, Fault(share=0.5), base=0.1),
    Service("busy-good", BUSY, Fault(), base=0.03),
    # Far longer than the latency that a daemon assumes before it has seen enough responses of its own.
    Service("long-slow", QUIET, Fault(share=1.0, slow=4.0), work_s=0.16),
    Service("long-some", QUIET, Fault(share=0.5, slow=5.0), work_s=0.16),
    Service("long-all", QUIET, Fault(share=1.0), work_s=0.16),
    Service("long-good", QUIET, Fault(), work_s=0.16),
]


class VersionReplica(Replica):
    """A replica of one version of a service, with the fault of that version."""

    def __init__(self, world, service, version, index):
        super().__init__(world, f"{service.name}-{version}-{index}", service.name, DOMAINS[index % len(DOMAINS)])
        self.of, self.version, self.recent, self.stopped = service, version, [], False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{HOST}:{self.port}", "zone": self.domain, "version": self.version,
                "slots": 6, "state": state, "cold_remaining_ms": 0, "seq": 1, "born": 1}

    async def stop(self):
        self.stopped = True
        self.server.close()
        await self.world.store.put("servers", self.name, None)

    def is_hit(self, target, now):
        fault = self.of.fault
        self.recent = [t for t in self.recent if now - t < 1.0] + [now]
        return (random.random() < fault.share and target.startswith(fault.prefix)
                and now >= self.of.ordered + fault.after * self.world.arguments.order_s
                and len(self.recent) * REPLICAS >= fault.load)

    async def run(self, request, writer):
        _, target, headers, _ = request
        request_id = headers.get("x-request-id", "")
        if self.stopped or headers.get("x-expect-instance") != self.name:
            writer.write(response_bytes(421, [("X-Instance-Id", self.name)], b""))
            return
        now = time.monotonic()
        hit = self.is_hit(target, now) if self.version == "v2" else random.random() < self.of.base
        self.of.arrivals.append((now, self.version, hit))
        slow = self.of.fault.slow if hit and self.version == "v2" else 0.0
        await asyncio.sleep(self.of.work_s * random.uniform(0.7, 1.6) * max(slow, 1.0))
        status = 500 if hit and not slow else 200
        writer.write(response_bytes(status, [("X-Server-Stamp", f"{self.name}.{request_id}"),
                                             ("X-Request-Id", request_id), ("X-Server-Load", "1,0,6")], b"x" * 32))
        await writer.drain()


class PlayWorld:
    def __init__(self, arguments, folder):
        self.arguments, self.folder = arguments, folder
        self.store = Store()
        wanted = arguments.services.split(",") if arguments.services else [s.name for s in SERVICES]
        self.services = [service for service in SERVICES if service.name in wanted]
        self.replicas = {}

    def configuration(self):
        routes = [{"name": f"{s.name}{prefix}", "host": f"{s.name}.example", "path_prefix": prefix, "kind": "safe",
                   "timeout_ms": 2000, "goal_ms": 250, "max_attempts": 2, "service": s.name}
                  for s in self.services for prefix in ("/a/", "/b/")]
        return {"version": 1, "routes": routes, "services": []}

    async def start_replicas(self, service, version):
        started = [VersionReplica(self, service, version, i) for i in range(REPLICAS)]
        self.replicas[service.name, version] = started
        for replica in started:
            await replica.start()
            await self.store.put("servers", replica.name, replica.entry())


async def call(world, service, daemon, number):
    prefix = "/b/" if number % 4 == 0 else "/a/"
    timeout = 3.0
    if world.arguments.trouble == "leave" and number % 3 == 0:
        timeout = 0.05
    response = await exchange(daemon.front, request_bytes("GET", f"{service.name}.example", f"{prefix}{number}",
                                                          f"{service.name}-{number}", 2.0), timeout)
    service.answers += 1 if response and response[0] == 200 else 0


async def send_requests(world, service, daemons):
    # Callers are spread unevenly over the daemons, as the balancer hashes them.
    weights = [random.uniform(0.2, 2.0) for _ in daemons]
    number, calls = 0, set()
    while time.monotonic() < world.stop_at:
        number += 1
        daemon = random.choices(daemons, weights)[0]
        task = asyncio.create_task(call(world, service, daemon, number))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(random.expovariate(service.rate))


async def drain(world, replicas):
    await asyncio.sleep(2.0)
    for replica in replicas:
        await world.store.put("servers", replica.name, replica.entry("draining"))
    await asyncio.sleep(4.0)
    for replica in replicas:
        await replica.stop()


async def operate(world, service):
    """Orders a rollout and follows its status: stops the version that is no longer used."""
    service.ordered = time.monotonic()
    await world.store.put("rollouts", service.name, {"service": service.name, "target_version": "v2",
                                                     "duration_s": world.arguments.order_s})
    await world.start_replicas(service, "v2")
    while time.monotonic() < world.stop_at:
        status = world.store.objects["rollouts"][service.name]["status"]
        if status and status["state"] in ("completed", "rolled_back") and status["target_version"] == "v2":
            service.decided = status["state"], time.monotonic() - service.ordered
            break
        await asyncio.sleep(0.02)
    if service.decided and service.decided[0] == "completed":
        for replica in world.replicas[service.name, "v1"]:
            await replica.stop()
    elif service.decided:
        await drain(world, world.replicas[service.name, "v2"])


async def disturb(world, daemons):
    """Injects the chosen trouble while the orders are in progress."""
    trouble, order_s = world.arguments.trouble, world.arguments.order_s
    if trouble == "lost":
        world.store.loses = 0.5
    elif trouble == "silent":
        await asyncio.sleep(0.25 * order_s)
        world.store.silent = True
        await asyncio.sleep(0.35 * order_s)
        world.store.silent = False
    elif trouble == "restored":
        await asyncio.sleep(0.3 * order_s)
        world.store.keep_copy()
        await asyncio.sleep(0.4 * order_s)
        await world.store.restore(0)
    elif trouble == "kill":
        for _ in range(4):
            await asyncio.sleep(0.2 * order_s)
            for daemon in random.sample(daemons, 3):
                daemon.send(signal.SIGKILL)
                daemon.process.wait()
                await daemon.start(world.seeds)


def exposure_faults(service, order_s):
    """Returns what a bad version got beyond the bounds; also the count of its requests and bad responses."""
    deadline = service.ordered + order_s
    during = [a for a in service.arrivals if service.ordered <= a[0] <= deadline]
    target = [a for a in service.arrivals if a[1] == "v2"]
    bad = [a[0] for a in target if a[2]]
    faults = []
    allowed = EXPOSURE_SHARE * len(during) + EXPOSURE_SLACK
    got = sum(1 for a in during if a[1] == "v2")
    if got > allowed:
        faults.append(f"{got} requests of {len(during)} by the deadline")
    if len(bad) >= 50:
        late = sum(1 for a in target if a[0] > bad[49] + ROLLBACK_S)
        if late:
            faults.append(f"{late} requests after the 50th bad response")
    return faults, got, len(bad)


def verdict_faults(service, order_s):
    state, at = service.decided or ("in progress", 0.0)
    if service.is_bad():
        return [] if state != "completed" else [f"completed after {at:.1f} s"]
    return [] if state == "completed" and at <= order_s else [f"good version: {state} after {at:.1f} s"]


async def play(world):
    await world.store.start()
    for service in world.services:
        await world.start_replicas(service, "v1")
    await world.store.put("config", "main", world.configuration())
    daemons = [Daemon(world, i, world.arguments.binary, world.folder) for i in range(9)]
    world.seeds = [f"{HOST}:{daemon.control}" for daemon in daemons[:3]]
    for daemon in daemons:
        await daemon.start(world.seeds)
    await asyncio.sleep(2.5)
    order_s = world.arguments.order_s
    world.stop_at = time.monotonic() + 2.0 + order_s + AFTER_S
    callers = [send_requests(world, service, daemons) for service in world.services]
    tasks = [asyncio.create_task(c) for c in callers]
    await asyncio.sleep(2.0)
    tasks += [asyncio.create_task(operate(world, service)) for service in world.services]
    tasks.append(asyncio.create_task(disturb(world, daemons)))
    await asyncio.gather(*tasks)
    for daemon in daemons:
        daemon.send(signal.SIGKILL)
        daemon.process.wait()


def report(world):
    failed = 0
    for service in world.services:
        order_s = world.arguments.order_s
        faults, got, bad = exposure_faults(service, order_s)
        if not service.is_bad():
            faults = []
        faults += verdict_faults(service, order_s)
        failed += 1 if faults else 0
        state, at = service.decided or ("in progress", 0.0)
        print(f"rollouts: seed {world.arguments.seed}: {service.name}: {state} after {at:.1f} s, target {got} requests,"
              f" {bad} bad; {'broken: ' + '; '.join(faults) if faults else 'kept'}", flush=True)
    return failed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--order-s", type=float, default=12.0)
    parser.add_argument("--trouble", default="", choices=["", "lost", "silent", "kill", "leave", "restored"])
    parser.add_argument("--services", default="")
    build = os.environ.get("CLEMENTINERILL_BUILD", "build")
    parser.add_argument("--binary", default=os.path.join(build, "src", "clementinerill"))
    parser.add_argument("--keep", help="directory for logs; by default a temporary one")
    arguments = parser.parse_args()
    random.seed(arguments.seed)
    folder = arguments.keep or tempfile.mkdtemp(prefix=f"rollouts-{arguments.seed}-")
    os.makedirs(folder, exist_ok=True)
    asyncio.run(run_and_exit(PlayWorld(arguments, folder)))


async def run_and_exit(world):
    """Plays and ends the process at once, as tasks of servers that still wait may not notice their cancellation."""
    await play(world)
    failed = report(world)
    print(f"{len(world.services) - failed} passed, {failed} failed; logs in {world.folder}")
    sys.stdout.flush()
    os._exit(1 if failed else 0)


if __name__ == "__main__":
    main()
