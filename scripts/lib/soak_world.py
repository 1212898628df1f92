"""Simulated environment of the soak test: a store, replicas and fault-injecting proxies, as asyncio servers.

The store and the replicas implement the users' protocol. Each listens on its own loopback port and is reached
through a proxy that can delay, reset or refuse connections, or discard their data.
"""

import asyncio
import copy
import json
import os
import random
import time

# Loopback address of this process: runs beside each other, and the ephemeral ports of connections, which are on
# 127.0.0.1, cannot take a port that is about to be used.
HOST = f"127.{1 + (os.getpid() >> 16) % 250}.{(os.getpid() >> 8) & 255}.{os.getpid() & 255}"

# Requests per second that a replica with a limit accepts from all daemons; it gets about five times as many.
LIMIT_PER_S = 5.0


class Proxy:
    """Forwards TCP connections to a port and injects network faults on request."""

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.silent = False  # Discards the data of both directions.
        self.cut_back = False  # Forwards requests and discards responses.
        self.refuses = False
        self.writers = set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self):
        self.delay_s, self.silent, self.cut_back, self.refuses = 0.0, False, False, False

    async def serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer, False), self.pump(target_reader, writer, True))
        self.writers -= {writer, target_writer}

    async def pump(self, reader, writer, is_response):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s * random.random())
                if self.silent or (self.cut_back and is_response):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


async def read_request(reader):
    """Reads a request; returns (method, target, headers, body), or None when the connection has ended."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def response_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class RawJson:
    """Content of an object that is sent letter for letter, as it need not be valid JSON."""

    def __init__(self, text):
        self.text = text


def encode_json(value):
    """Serializes a value that may contain RawJson."""
    texts = {}

    def marker(raw):
        texts[f'"@raw-{len(texts)}@"'] = raw.text
        return f"@raw-{len(texts) - 1}@"

    encoded = json.dumps(value, default=marker)
    for name, text in texts.items():
        encoded = encoded.replace(name, text)
    return encoded.encode()


class Store:
    """Object store with a global revision; supports lists, watches and creation of objects that do not exist yet."""

    def __init__(self):
        self.objects, self.events, self.revision, self.floor = {}, [], 1, 0
        self.era = 1  # Rises each time that the store returns from an older copy.
        self.copies = []  # (time, revision, objects), oldest first.
        self.changed = asyncio.Condition()
        self.busy = False  # Responds 503 to every request.
        self.silent = False  # Never answers what it receives, or would answer, now.
        self.loses = 0.0  # Fraction of writes that are applied but get no response.
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        known = self.objects.get(kind, {}).get(name)
        await self.change(kind, name, spec, known["status"] if known else None)

    async def change(self, kind, name, spec, status):
        self.revision += 1
        item = {"meta": {"name": name, "rev": self.revision}, "spec": spec, "status": status}
        if spec is None:
            self.objects.get(kind, {}).pop(name, None)
        else:
            self.objects.setdefault(kind, {})[name] = item
        self.events.append((self.revision, kind, {"deleted": spec is None, "object": item}))
        async with self.changed:
            self.changed.notify_all()

    async def write_status(self, kind, name, body):
        """Replaces the status of an object, if it is still at the revision that the call names."""
        known = self.objects.get(kind, {}).get(name)
        if not known:
            return 404, {}
        if body["meta"].get("rev", known["meta"]["rev"]) != known["meta"]["rev"]:
            return 409, known
        await self.change(kind, name, known["spec"], body["status"])
        return 200, self.objects[kind][name]

    def keep_copy(self):
        self.copies = self.copies[-19:] + [(time.monotonic(), self.revision, copy.deepcopy(self.objects))]

    async def restore(self, seconds):
        """Returns to the newest copy that is at least this old. Revisions after it are given out again."""
        old = [c for c in self.copies if c[0] <= time.monotonic() - seconds] or self.copies[:1]
        _, self.revision, objects = old[-1]
        self.objects, self.events, self.floor = copy.deepcopy(objects), [], 0
        self.copies = [c for c in self.copies if c[1] <= self.revision]
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    def compact(self):
        self.floor, self.events = self.revision, []

    async def serve(self, reader, writer):
        while request := await read_request(reader):
            method, target, _, body = request
            lost = self.silent
            status, reply = await self.handle_request(method, target, body)
            if status is None:
                break
            if lost or self.silent:
                await reader.read()  # Nothing more comes on a connection that has lost a response.
                break
            writer.write(response_bytes(status, [("Store-Era", str(self.era))], encode_json(reply)))
            try:
                await writer.drain()
            except OSError:
                break
        writer.close()

    async def handle_request(self, method, target, body):
        path, _, query = target.partition("?")
        kind, _, name = path.removeprefix("/objects/").partition("/")
        values = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        if self.silent:
            return 200, {}
        if self.busy:
            return 503, {}
        if method != "GET":
            if method == "DELETE":
                await self.put(kind, name, None)
                return 200, {}
            spec = json.loads(body)
            if name.endswith("/status"):
                status, reply = await self.write_status(kind, name.removesuffix("/status"), spec)
                return (None, None) if random.random() < self.loses else (status, reply)
            if method == "POST" and spec["meta"]["name"] in self.objects.get(kind, {}):
                return 409, {}
            await self.put(kind, name or spec["meta"]["name"], spec["spec"])
            return (None, None) if random.random() < self.loses else (200, spec)
        if "watch" not in values:
            items = list(self.objects.get(kind, {}).values())
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        since, era = int(values["watch"]), self.era
        if since < self.floor or since > self.revision:
            return 410, {}

        def new_events():
            return [event for revision, k, event in self.events if k == kind and revision > since]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: new_events() or era != self.era),
                                       int(values["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if era != self.era:
            return None, None
        return (410, {}) if since < self.floor else (200, {"events": new_events(), "current_rev": self.revision})


class Replica:
    """Simulated replica with a random service time; records the requests that it executes."""

    def __init__(self, world, name, service, domain):
        self.world, self.name, self.service, self.domain = world, name, service, domain
        self.slow, self.sheds, self.loses, self.twice, self.limits = 1.0, 0.0, 0.0, 0.0, 0.0
        self.running = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.proxy = Proxy(server.sockets[0].getsockname()[1])
        await self.proxy.start()

    def heal(self):
        self.slow, self.sheds, self.loses, self.twice, self.limits = 1.0, 0.0, 0.0, 0.0, 0.0
        self.proxy.heal()

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{HOST}:{self.proxy.port}", "zone": self.domain,
                "version": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0, "seq": 1, "born": 1}

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                await self.run(request, writer)
        except OSError:
            pass
        writer.close()

    async def run(self, request, writer):
        method, target, headers, body = request
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") != self.name:
            writer.write(response_bytes(421, [("X-Instance-Id", self.name)], b""))
            return
        if random.random() < self.sheds or self.running >= 40:
            writer.write(response_bytes(503, [("X-Not-Executed", "1"), ("X-Request-Id", request_id)], b""))
            return
        self.world.record_execution(request_id, self, method, target, body)
        self.running += 1
        await asyncio.sleep(0.004 * self.slow * random.uniform(0.5, 2))
        self.running -= 1
        if random.random() < self.loses:
            writer.transport.abort()
            return
        stamp = f"{self.name}.{request_id}"
        report = [("X-Server-Load", f"{self.running},0,4")]
        if self.limits:
            report.append(("Server-Limit", str(LIMIT_PER_S)))
        reply = response_bytes(200, [("X-Server-Stamp", stamp), ("X-Request-Id", request_id)] + report,
                               self.world.body_of(stamp))
        writer.write(reply * 2 if random.random() < self.twice else reply)
        await writer.drain()
