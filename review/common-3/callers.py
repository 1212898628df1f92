"""Callers of a daemon: ordinary ones, and connections of callers that nobody controls."""

import asyncio
import socket
import time

import world as w

HOST = "leno12.example"


def fields(rid, deadline_ms=5000):
    return [("Host", HOST), ("X-Request-Id", rid), ("X-Request-Deadline", deadline_ms)]


class Connections:
    """Connections that send `head` at once and, if `repeated` is not empty, that again after each pause."""

    def __init__(self, address, count, head, repeated=b"", pause_s=0.05):
        self.address, self.count, self.head = address, count, head
        self.repeated, self.pause_s = repeated, pause_s
        self.sockets = []
        self.closed = 0  # Connections that the daemon has closed.
        self.task = None

    async def open(self):
        loop = asyncio.get_running_loop()
        for _ in range(self.count):
            s = socket.socket()
            s.setblocking(False)
            self.sockets.append(s)
            try:
                await asyncio.wait_for(loop.sock_connect(s, self.address), 1)
                await loop.sock_sendall(s, self.head)
            except (OSError, asyncio.TimeoutError):
                break
        if self.repeated:
            self.task = asyncio.create_task(self.repeat())

    async def repeat(self):
        while True:
            began = time.monotonic()
            closed = 0
            for s in self.sockets:
                try:
                    s.send(self.repeated)
                except BlockingIOError:
                    pass
                except OSError:
                    closed += 1
            self.closed = closed
            await asyncio.sleep(max(0.001, self.pause_s - (time.monotonic() - began)))

    def close(self):
        if self.task:
            self.task.cancel()
        for s in self.sockets:
            s.close()
        self.sockets = []


class OrdinaryCaller:
    """Sends a GET request to one daemon each `period_s` and records how each ended."""

    def __init__(self, world, daemon, period_s=1.0, deadline_ms=5000, patience_s=5.5):
        self.world, self.daemon, self.period_s = world, daemon, period_s
        self.deadline_ms, self.patience_s = deadline_ms, patience_s
        self.ends = []  # (sent, ended, status or a word)
        self.pending = []

    async def ask(self, number):
        rid = f"{self.daemon.ip.replace('.', '')}{number:06d}"
        sent = self.world.now()
        try:
            status, _, _ = await w.request(self.daemon.front(), "GET", "/goka902/2f",
                                           fields(rid, self.deadline_ms), timeout_s=self.patience_s)
            end = status if status else "closed"
        except asyncio.TimeoutError:
            end = "unanswered"
        except OSError:
            end = "refused"
        self.ends.append((sent, self.world.now(), end))
        self.world.record(f"request {rid} to {self.daemon.name} sent {sent:.3f}: {end}")

    async def run(self, until):
        number = 0
        while self.world.now() < until:
            number += 1
            self.pending.append(asyncio.create_task(self.ask(number)))
            await asyncio.sleep(self.period_s)
        await asyncio.gather(*self.pending)


def docket(zones):
    """Replicas, routes and services of one service for single requests."""
    replicas = [("clerk-docket", f"i-{zone}-{n}", zone, {"work_s": 0.02, "body": b"x" * 3000})
                for zone in zones for n in range(2)]
    routes = [{"name": "r-docket", "host": HOST, "path_prefix": "/goka902/", "kind": "safe", "timeout_ms": 5000,
               "goal_ms": 500, "priority": 2, "service": "clerk-docket", "max_attempts": 2}]
    services = [{"name": "clerk-docket", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False,
                 "warmup_s": 3.0, "cold_per_s": 0.0}]
    return replicas, routes, services
