"""Checks that callers outside the limits do not end a `gateway` process, nor keep it from serving others.

Usage: test_callers.py CASE... The crowds and the bounds are those with which the cases were first run, on the code
before its limits for them; keep them.
"""

import asyncio
import os
import resource
import signal
import subprocess
import sys
import tempfile

import fleet
from hostile_callers import MB, Crowd, Report, Watched, ordinary, request_id
from soak_world import HOST, Replica, Store, response_bytes

BINARY = os.path.join(fleet.BUILD, "src", "clementinerill")
FRONT, READY, RELAY, METRICS, FORWARD = range(21000, 21005)
PORTS = [FRONT, READY, RELAY, METRICS, FORWARD]
# Limits of the process in these tests.
MEMORY_MB, MAX_FDS = 40, 240
MAX_BYTES = MEMORY_MB * MB
# Callers of one kind, and the same near the limit of descriptors.
CROWD, FULL = 100, 400
LARGE = b"x" * MB
# A route that other daemons forward to this one; its response has a record of 16 bytes for each of `TOP`.
SHARDS, TOP = 20, 60_000


class LargeReplica(Replica):
    """Answers requests below /h/large with a long body."""

    async def run(self, request, writer):
        _, target, headers, _ = request
        body = LARGE if target.startswith("/h/large") else LARGE[:16 * TOP // SHARDS] if target.startswith("/s/") else b"ok"
        identity = [("X-Server-Stamp", f"{self.name}.1"), ("X-Request-Id", headers.get("x-request-id", "")),
                    ("X-Server-Load", "1,0,400")]
        writer.write(response_bytes(200, identity, body))
        await writer.drain()


class World:
    """A store with one service of one replica, and a gateway process."""

    def __init__(self):
        self.store = Store()
        self.replica = LargeReplica(self, "h0", "hold", "z1")
        self.folder = tempfile.TemporaryDirectory(prefix="clementinerill-")
        self.process = None

    async def __aenter__(self):
        await self.store.start()
        await self.replica.start()
        limits = {"max_header_bytes": 16384, "max_body_bytes": MB, "header_timeout_ms": 60000,
                  "idle_timeout_ms": 60000}
        route = {"name": "hold", "host": "h.example", "path_prefix": "/h/", "kind": "unsafe", "timeout_ms": 8000,
                 "goal_ms": 4000, "max_attempts": 2, "service": "hold"}
        gather = {"name": "sweep", "host": "s.example", "path_prefix": "/s/", "kind": "safe", "timeout_ms": 8000,
                  "goal_ms": 4000, "max_attempts": 2, "top_k": TOP, "min_share": 0.5,
                  "gather": [f"shard-{i}" for i in range(SHARDS)]}
        await self.store.put("config", "main", {"version": 1, "routes": [route, gather], "services": [], "limits": limits})
        await self.store.put("servers", "h0", dict(self.replica.entry(), slots=400))
        for i in range(SHARDS):
            await self.store.put("servers", f"s{i}", dict(self.replica.entry(), service=f"shard-{i}"))
        return self

    async def __aexit__(self, *_):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        # Ends the watches that are open, so that no task is left to be cancelled while it waits for their lock.
        self.store.era += 1
        async with self.store.changed:
            self.store.changed.notify_all()
        await asyncio.sleep(0.2)
        self.folder.cleanup()

    async def start(self):
        path = os.path.join(self.folder.name, "node.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"node: vm-1\nzone: z1\nip: {HOST}\ninternal_ports: [{METRICS}, {FORWARD}]\nseeds: []\n"
                       f"listen: {{front: '{HOST}:{FRONT}', ready: '{HOST}:{READY}', control: '{HOST}:{RELAY}'}}\n"
                       f"platform: {{address: '{HOST}:{self.store.port}'}}\nbounds: {{grace_s: 6}}\n"
                       f"limits: {{memory_mb: {MEMORY_MB}, max_fds: {MAX_FDS}, cpu_share: 0.5, cores: 1}}\n")
        with open(os.path.join(self.folder.name, "log"), "wb") as log:
            self.process = subprocess.Popen(
                [BINARY, "gateway"], env=dict(os.environ, CLEMENTINERILL_NODE_FILE=path), stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)))
        return Watched(self.process.pid, HOST, PORTS)

    async def start_ready(self):
        watched = await self.start()
        if fault := await self.ask():
            raise RuntimeError(f"the gateway did not start: {fault}")
        return watched

    @staticmethod
    async def ask(port=FRONT, path="/h/1", wanted=(200,)):
        return await ordinary(HOST, port, lambda: (f"GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: "
                                                   f"{request_id()}\r\n\r\n").encode(), wanted)

    async def crowd(self, port, count, **options):
        return await Crowd(HOST, port, count, **options).start()


async def finish(report, case, watched, crowds, ask, seconds=3.0):
    """Lets the crowds act, asks while they are there and after they left, and checks the process."""
    watched.reset()
    await watched.watch(seconds)
    faults = [fault for fault in await asyncio.gather(*ask()) if fault]
    watched.sample()
    for crowd in crowds:
        await crowd.close()
    faults += [fault for fault in await asyncio.gather(*ask()) if fault]
    report.check(case, watched, MAX_BYTES, MAX_FDS - 16, faults)


HEAD = b"GET /h/1 HTTP/1.1\r\nHost: h.example\r\n"


async def heads(report):
    """Heads over the limit, heads without end and empty lines without end, sent fast and slowly."""
    async with World() as world:
        watched = await world.start_ready()
        crowds = [await world.crowd(FRONT, CROWD // 2, **options) for options in (
            {"begin": HEAD + b"X-Long: " + b"x" * 300_000 + b"\r\n\r\n"},
            {"begin": HEAD, "repeated": b"X-Many: " + b"x" * 1000 + b"\r\n", "pause_s": 0.02},
            {"begin": HEAD + b"X-Long: " + b"x" * 16_000, "repeated": b"x", "pause_s": 1.0})]
        await finish(report, "heads", watched, crowds, lambda: [world.ask()])
        crowds = [await world.crowd(FRONT, CROWD // 2, **options) for options in (
            {"repeated": b"\r\n" * 4000}, {"repeated": b"\r\n", "pause_s": 0.1}, {"repeated": b"\n" * 4000})]
        await finish(report, "empty lines", watched, crowds, lambda: [world.ask()])


def large_request():
    return f"GET /h/large HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id()}\r\n\r\n".encode()


async def readers(report):
    """Long responses that many callers read slowly or not at all, and short ones that nobody reads."""
    async with World() as world:
        watched = await world.start_ready()
        crowds = [await world.crowd(FRONT, CROWD, begin=large_request(), read_per_s=2000)]
        await finish(report, "slow readers", watched, crowds, lambda: [world.ask()])
        crowds = [await world.crowd(FRONT, CROWD, begin=large_request())]
        await finish(report, "unread responses", watched, crowds, lambda: [world.ask()])
        crowds = [await world.crowd(FRONT, CROWD, begin=(HEAD + b"\r\n") * 40, repeated=HEAD + b"\r\n", pause_s=0.01)]
        await finish(report, "unread short responses", watched, crowds, lambda: [world.ask()])


async def descriptors(report):
    """More connections than descriptors: idle ones, and ones with a head that stays incomplete."""
    async with World() as world:
        watched = await world.start_ready()
        for case, begin in (("idle callers", b""), ("incomplete heads", HEAD)):
            crowds = [await world.crowd(FRONT, FULL, begin=begin)]
            await finish(report, case, watched, crowds, lambda: [world.ask(), world.ask(READY, "/ready")])


async def store_away(report):
    """A crowd near the limit of descriptors at start while the store is away, and still when it is back."""
    async with World() as world:
        world.store.busy = True
        watched = await world.start()
        if fault := await world.ask(wanted=(503,)):
            raise RuntimeError(f"the gateway did not start: {fault}")
        crowds = [await world.crowd(FRONT, FULL, begin=HEAD), await world.crowd(RELAY, CROWD)]
        await watched.watch(2.0)
        world.store.busy = False
        await finish(report, "store away at start", watched, crowds, lambda: [world.ask()])


async def stopping(report):
    """A crowd near the limit of descriptors during SIGTERM. The process ends by itself."""
    async with World() as world:
        watched = await world.start_ready()
        crowds = [await world.crowd(FRONT, FULL // 2, begin=HEAD),
                  await world.crowd(FRONT, FULL // 4, begin=large_request(), read_per_s=2000),
                  await world.crowd(FRONT, FULL // 4)]
        await watched.watch(1.5)
        world.process.send_signal(signal.SIGTERM)
        fault = await world.ask()
        report.check("stopping", watched, MAX_BYTES, MAX_FDS - 16, [fault] if fault else [])
        loop = asyncio.get_running_loop()
        try:
            code = await asyncio.wait_for(loop.run_in_executor(None, world.process.wait), 12)
        except asyncio.TimeoutError:
            code = "none in 12 s"
        print(f"stopping: exit code {code}")
        if code != 0:
            report.failures.append(f"stopping: exit code {code}")
        for crowd in crowds:
            await crowd.close()


UPLOAD = b" HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n" % MB + b"x" * (MB - 1)


async def ports(report):
    """Uploads that stop a byte short and responses that nobody reads on the ports for balancer, operators and daemons."""
    async with World() as world:
        watched = await world.start_ready()

        def ask():
            return [world.ask(), world.ask(READY, "/ready"), world.ask(METRICS, "/metrics"),
                    world.ask(RELAY, "/alive"), world.ask(FORWARD, "/h/1", (409,))]
        for name, port in (("ready", READY), ("metrics", METRICS), ("relay", RELAY), ("forward", FORWARD)):
            crowds = [await world.crowd(port, CROWD, begin=b"POST /relay" + UPLOAD)]
            await finish(report, f"uploads, {name} port", watched, crowds, ask, 1.5)


async def unread_ports(report):
    """Responses that nobody reads, and crowds near the limit of descriptors, on the same ports."""
    async with World() as world:
        watched = await world.start_ready()

        def ask():
            return [world.ask(), world.ask(READY, "/ready"), world.ask(METRICS, "/metrics"),
                    world.ask(RELAY, "/alive"), world.ask(FORWARD, "/h/1", (409,))]
        page = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
        crowds = [await world.crowd(METRICS, CROWD, begin=page * 400)]
        await finish(report, "unread, metrics port", watched, crowds, ask, 3.0)
        crowds = [await world.crowd(port, CROWD) for port in (READY, METRICS, RELAY, FORWARD)]
        await finish(report, "idle, internal ports", watched, crowds, ask, 1.0)


async def forwarded(report):
    """Forwarded queries whose long responses a slow daemon does not read."""
    async with World() as world:
        watched = await world.start_ready()
        query = (b"GET /s/1 HTTP/1.1\r\nHost: s.example\r\nX-Request-Id: f\r\n"
                 b"Clementinerill-Forward: 1 1 0\r\n\r\n")

        def ask():
            return [world.ask(), world.ask(FORWARD, "/h/1", (409,))]
        crowds = [await world.crowd(FORWARD, CROWD, begin=query, repeated=query, pause_s=0.5)]
        await finish(report, "unread forwarded responses", watched, crowds, ask, 5.0)


def main():
    async def run(case):
        # The connections of the store and the replica that are left at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await asyncio.wait_for(globals()[case](report), 110)

    report = Report()
    for case in sys.argv[1:]:
        asyncio.run(run(case))
    return report.exit_code()


if __name__ == "__main__":
    sys.exit(main())
