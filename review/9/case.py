"""Case: requests of clients that have left are sent to replicas seconds later, when their connections come about."""

import asyncio
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import world as w  # noqa: E402

ZONES = ["z1", "z2", "z3"]
HANG_S = 2.2        # srv_crash, how dark: for_s up to 4.5
OBJECTIVE_MS = 500
LEAVE_S = 0.25      # give_up: clients leave within half of the objective
LEAVE_SHARE = 0.3   # give_up: share = 0.3
CLIENTS = 200
BODY = b"b" * 300


class DarkReplica(w.Replica):
    """While it is dark it takes no connections and answers nothing. Its queue of new connections is short; a packet that
    opens one is dropped while the queue is full, and the kernel of the sender sends it again after one and three seconds."""

    async def start(self, **_):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((w.HOST, 0))
        self.socket.listen(1)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.awake = asyncio.Event()
        self.awake.set()
        self.woken_at = 0.0
        self.late_connections = set()
        self.accepting = asyncio.ensure_future(self.accept())

    def sleep(self):
        self.awake.clear()

    def wake(self):
        self.woken_at = time.monotonic()
        self.awake.set()

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.awake.wait()
            connection, _ = await loop.sock_accept(self.socket)
            if not self.awake.is_set():
                await self.awake.wait()
            connection.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=connection)
            asyncio.ensure_future(self.serve_connection(reader, writer, time.monotonic()))

    async def serve_connection(self, reader, writer, accepted_at):
        try:
            while request := await w.read_message(reader):
                await self.awake.wait()
                request_id = request[1].get("x-request-id", "")
                if self.woken_at and accepted_at > self.woken_at + 0.1:
                    # Its connection was established after the replica was back, so it was sent after that too.
                    self.late_connections.add(request_id)
                await self.respond(request, writer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


async def post(gateway, request_id, leave_s, left):
    """Sends a request; with `leave_s` the client closes its connection so long after it."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(w.HOST, gateway.front), 1)
    writer.write(w.request_bytes("POST", "hufi27.example", "/case/1", request_id, 5.0, BODY))
    try:
        reply = await asyncio.wait_for(w.read_message(reader), leave_s or 6.0)
        status = int(reply[0].split(" ")[1]) if reply else None
    except asyncio.TimeoutError:
        status = "left"
        left[request_id] = time.monotonic()
    writer.close()
    return status


async def case(record, folder, gateways):
    store = w.Store()
    await store.start()
    replicas = [DarkReplica(f"i-docket-{zone}", "docket", zone, 0.02) for zone in ZONES]
    for replica in replicas:
        await replica.start()
        await store.put("servers", replica.name, replica.entry())
    route = {"name": "r-case", "host": "hufi27.example", "path_prefix": "/case/", "kind": "unsafe", "timeout_ms": 5000,
             "goal_ms": OBJECTIVE_MS, "priority": 2, "service": "docket", "max_attempts": 2}
    await store.put("config", "main", {"version": 3, "routes": [route], "limits": w.LIMITS, "services": [
        {"name": "docket", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False, "warmup_s": 3.0,
         "cold_per_s": 0.0}]})
    for i in range(9):
        gateways.append(w.Gateway(f"frontend-{ZONES[i % 3]}-{i}", ZONES[i % 3], folder, store.port))
    seeds = [f"{w.HOST}:{g.control}" for g in gateways[:3]]
    for gateway in gateways:
        gateway.start(seeds, w.BOUNDS)
    await w.wait_ready(gateways)
    await asyncio.sleep(7)
    for i in range(27):
        await post(gateways[i % 9], f"warm{i}", None, {})
    record.say("9 daemons are in touch and have served 27 requests")
    await asyncio.sleep(2)
    left = {}
    if w.TROUBLE:
        for replica in replicas:
            replica.sleep()
        record.say(f"the replicas are dark for {HANG_S} s")
    started = time.monotonic()
    tasks = []
    for i in range(CLIENTS):
        leaves = i % 10 < 10 * LEAVE_SHARE
        tasks.append(asyncio.ensure_future(post(gateways[i % 9], f"{'give-up' if leaves else 'stay'}{i}",
                                                LEAVE_S if leaves else None, left)))
        await asyncio.sleep(0.3 / CLIENTS)
    await asyncio.sleep(max(0.0, started + HANG_S - time.monotonic()))
    for replica in replicas:
        replica.wake()
    record.say("the replicas are back")
    statuses = await asyncio.gather(*tasks)
    record.say(f"{CLIENTS} clients: {statuses.count('left')} have left without an answer, {statuses.count(200)} have a 200")
    await asyncio.sleep(2)
    late = 0
    for replica in replicas:
        for at, request_id, _, _, _ in replica.runs:
            if request_id in left and at > left[request_id] + 0.5 and request_id in replica.late_connections:
                late += 1
                record.write(f"{request_id} reaches {replica.name} {at - left[request_id]:.2f} s after its client has left")
    record.say(f"requests sent to a replica over half a second after their clients had left: {late}")
    return late <= 3


if __name__ == "__main__":
    w.run_case(HERE, case)
