"""Crowds of callers outside the limits, and checks of the process that they call.

A check that fails is recorded; it looks at the process, its memory, its descriptors and one ordinary request, and never
at times or at shares of served requests.
"""

import asyncio
import os
import random
import socket

# How long an ordinary request may take on a loaded test machine.
PATIENCE_S = 12
MB = 1_000_000


class Crowd:
    """Connections to one port that send the same bytes and stay open until `close`.

    `begin` is sent first, then `repeated` again and again with a pause. Of what the peer sends, `read_per_s` bytes a second
    are read.
    """

    def __init__(self, host, port, count, begin=b"", repeated=b"", pause_s=0.0, read_per_s=0):
        self.address, self.count = (host, port), count
        self.begin, self.repeated, self.pause_s, self.read_per_s = begin, repeated, pause_s, read_per_s
        self.sockets, self.tasks = [], []

    async def start(self):
        for _ in range(self.count):
            s = socket.socket()
            s.setblocking(False)
            # What callers have not read stays with the process that is tested.
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            self.sockets.append(s)
            self.tasks.append(asyncio.create_task(self.send(s)))
            if self.read_per_s:
                self.tasks.append(asyncio.create_task(self.read(s)))
        return self

    async def send(self, s):
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_connect(s, self.address), PATIENCE_S)
            await loop.sock_sendall(s, self.begin)
            while self.repeated:
                await loop.sock_sendall(s, self.repeated)
                await asyncio.sleep(self.pause_s)
        except (OSError, asyncio.TimeoutError):
            pass

    async def read(self, s):
        loop = asyncio.get_running_loop()
        period = 0.2
        try:
            while True:
                await asyncio.sleep(period)
                if not await loop.sock_recv(s, max(1, int(self.read_per_s * period))):
                    return
        except OSError:
            pass

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for s in self.sockets:
            s.close()


class Watched:
    """What a process uses, from /proc, and the most that was seen."""

    def __init__(self, pid, host, ports):
        self.pid, self.host, self.ports = pid, host, ports
        self.reset()

    def reset(self):
        self.rss = self.kernel = self.descriptors = 0

    def is_alive(self):
        try:
            with open(f"/proc/{self.pid}/stat", encoding="ascii") as file:
                return file.read().rsplit(")", 1)[1].split()[0] not in "ZX"
        except OSError:
            return False

    def sample(self):
        try:
            with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
                rss = [int(line.split()[1]) * 1024 for line in file if line.startswith("VmRSS:")]
            self.rss = max(self.rss, *rss, 0)
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
        except (OSError, TypeError):
            return
        self.kernel = max(self.kernel, self.queued_bytes())

    def queued_bytes(self):
        """Bytes in the send and receive queues of the connections to the ports of the process."""
        own = {"%s:%04X" % (socket.inet_aton(self.host)[::-1].hex().upper(), port) for port in self.ports}
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                fields = line.split()
                if fields[1] in own and fields[3] != "0A":  # Listening sockets have other numbers there.
                    total += sum(int(part, 16) for part in fields[4].split(":"))
        return total

    async def watch(self, seconds):
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            self.sample()
            await asyncio.sleep(0.1)


async def exchange(host, port, request):
    """Sends a request on a connection of its own; returns the status, or None without a complete response."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(request)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        return int(head.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


async def ordinary(host, port, make_request, wanted=(200,)):
    """Whether an ordinary caller, who tries again after a refusal or a closed connection, gets a response."""
    end = asyncio.get_running_loop().time() + PATIENCE_S
    status = None
    while (left := end - asyncio.get_running_loop().time()) > 0:
        try:
            status = await asyncio.wait_for(exchange(host, port, make_request()), left)
        except asyncio.TimeoutError:
            return f"no response in {PATIENCE_S} s, before that {status}"
        if status in wanted:
            return None
        await asyncio.sleep(0.2)
    return f"status {status}"


class Report:
    """Collects what a test measured, and its failures."""

    def __init__(self):
        self.failures = []

    def check(self, case, watched, most_bytes, most_descriptors, faults):
        watched.sample()
        memory = watched.rss + watched.kernel
        print(f"{case}: memory {watched.rss / MB:.0f} MB and {watched.kernel / MB:.0f} MB queued in the kernel of "
              f"{most_bytes / MB:.0f} MB, descriptors {watched.descriptors} of {most_descriptors}, "
              f"ordinary requests: {faults or 'answered'}", flush=True)
        if not watched.is_alive():
            self.failures.append(f"{case}: the process ended")
        if memory > most_bytes:
            self.failures.append(f"{case}: memory")
        if watched.descriptors > most_descriptors:
            self.failures.append(f"{case}: descriptors")
        if faults:
            self.failures.append(f"{case}: an ordinary request was not answered: {faults}")

    def exit_code(self):
        for failure in self.failures:
            print(f"FAILED {failure}")
        return 1 if self.failures else 0


def request_id():
    return f"r{random.getrandbits(48):x}"
