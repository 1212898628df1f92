"""Checks that callers outside the limits do not end a `serve` process, nor keep it from serving others.

Usage: test_callers_serve.py CASE... The crowds and the bounds are those with which the cases were first run, on the code
before its limits for them; keep them.
"""

import asyncio
import json
import resource
import signal
import sys

import fleet
from hostile_callers import MB, Crowd, Report, Watched, ordinary

HOST = "127.0.0.1"
# The memory of the smallest VM, and lowered limits of the process in these tests.
MAX_BYTES, MAX_FDS, THREADS = 112 * MB, 400, 128
# Callers of one kind, and the same near the limit of descriptors.
CROWD, FULL = 200, 600
BODY = json.dumps({"query": "creditor"}).encode()
HEAD = b"POST /v1/claims-search HTTP/1.1\r\nHost: h.example\r\n"
REQUEST = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
UPLOAD = HEAD + b"Content-Length: %d\r\n\r\n" % MB + b"x" * (MB - 1)


class LimitedFleet(fleet.Fleet):
    """One daemon with few descriptors and threads."""

    def __init__(self):
        super().__init__(services=2, replicas=2, daemons=1, domains=2)

    def settings(self, name):
        return dict(super().settings(name), exchange_threads=16, caller_threads=THREADS)

    def start_daemon(self, name):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, hard))
        try:
            super().start_daemon(name)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def start(f):
    name = f.daemon_names[0]
    daemon = f.daemons[name]
    ports = [daemon.port, daemon.admin_port, f.peer_ports[name]]
    return daemon, ports, Watched(daemon.child.pid, HOST, ports)


async def finish(report, case, f, crowds, seconds=3.0):
    """Lets the crowds act, asks while they are there and after they left, and checks the process."""
    daemon, _, watched = start(f)

    def ask():
        return asyncio.gather(
            ordinary(HOST, daemon.port, lambda: REQUEST),
            ordinary(HOST, daemon.port, lambda: b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"),
            ordinary(HOST, daemon.admin_port, lambda: b"GET /status HTTP/1.1\r\nHost: h\r\n\r\n"))
    for crowd in crowds:
        await crowd.start()
    await watched.watch(seconds)
    faults = [fault for fault in await ask() if fault]
    watched.sample()
    for crowd in crowds:
        await crowd.close()
    faults += [fault for fault in await ask() if fault]
    report.check(case, watched, MAX_BYTES, MAX_FDS - 16, faults)


async def heads(report, f):
    """Heads over the limit, heads without end and empty lines without end."""
    port = f.daemons[f.daemon_names[0]].port
    await finish(report, "heads", f, [Crowd(HOST, port, CROWD // 2, **options) for options in (
        {"begin": HEAD + b"X-Long: " + b"x" * 300_000 + b"\r\n\r\n"},
        {"begin": HEAD, "repeated": b"X-Many: " + b"x" * 1000 + b"\r\n", "pause_s": 0.02},
        {"begin": HEAD, "repeated": b"X: x\r\n", "pause_s": 1.0})])
    await finish(report, "empty lines", f, [Crowd(HOST, port, CROWD // 2, **options) for options in (
        {"repeated": b"\r\n" * 4000}, {"repeated": b"\r\n", "pause_s": 0.1})])


async def bodies(report, f):
    """Uploads that stop a byte short, and responses that nobody reads."""
    port = f.daemons[f.daemon_names[0]].port
    await finish(report, "uploads", f, [Crowd(HOST, port, CROWD, begin=UPLOAD)])
    await finish(report, "unread responses", f, [
        Crowd(HOST, port, CROWD, begin=REQUEST * 20, repeated=REQUEST, pause_s=0.05)])


async def descriptors(report, f):
    """More connections than descriptors: idle ones, and ones with a head that stays incomplete."""
    port = f.daemons[f.daemon_names[0]].port
    await finish(report, "idle callers", f, [Crowd(HOST, port, FULL)])
    await finish(report, "incomplete heads", f, [Crowd(HOST, port, FULL, begin=HEAD)])


async def ports(report, f):
    """The same on the ports for operators and daemons."""
    _, (_, admin, peer), _ = start(f)
    await finish(report, "uploads, admin port", f, [Crowd(HOST, admin, CROWD, begin=UPLOAD)])
    await finish(report, "incomplete heads, admin port", f, [Crowd(HOST, admin, FULL, begin=HEAD)])
    await finish(report, "peer port", f, [
        Crowd(HOST, peer, CROWD // 2, begin=HEAD), Crowd(HOST, peer, CROWD // 2, begin=UPLOAD)])


async def store_away(report, f):
    """A crowd near the limit of descriptors while the platform is away."""
    f.platform.kill()
    port = f.daemons[f.daemon_names[0]].port
    await finish(report, "store away", f, [Crowd(HOST, port, FULL, begin=HEAD)])


async def stopping(report, f):
    """A crowd during SIGTERM. The process ends by itself."""
    daemon, _, watched = start(f)
    crowds = [await Crowd(HOST, daemon.port, CROWD, begin=HEAD).start(),
              await Crowd(HOST, daemon.port, CROWD, begin=REQUEST * 20).start()]
    await watched.watch(1.5)
    daemon.child.send_signal(signal.SIGTERM)
    await watched.watch(0.2)
    loop = asyncio.get_running_loop()
    try:
        code = await asyncio.wait_for(loop.run_in_executor(None, lambda: daemon.child.wait(25)), 26)
    except Exception as error:  # pylint: disable=broad-except
        code = repr(error)
    print(f"stopping: memory {watched.rss / MB:.0f} MB and {watched.kernel / MB:.0f} MB queued in the kernel of "
          f"{MAX_BYTES / MB:.0f} MB, exit code {code}", flush=True)
    if code != 0:
        report.failures.append(f"stopping: exit code {code}")
    for crowd in crowds:
        await crowd.close()


def main():
    report = Report()
    for case in sys.argv[1:]:
        with LimitedFleet() as f:
            asyncio.run(asyncio.wait_for(globals()[case](report, f), 110))
    return report.exit_code()


if __name__ == "__main__":
    sys.exit(main())
