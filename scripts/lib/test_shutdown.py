"""Checks that a rolling restart of three daemons under load loses no request."""

import http.client
import json
import sys
import threading
import time

import fleet

CALLERS = 8
BALANCER_DELAY_MS = 800


class Balancer:
    """Simulated load balancer that directs new connections to daemons that report ready."""

    def __init__(self, f):
        self.f = f
        self.ready = list(f.daemons)

    def poll(self):
        ready = []
        for name, daemon in self.f.daemons.items():
            try:
                if fleet.exchange(daemon.port, "GET", "/readyz", timeout_s=2)[0] == 200:
                    ready.append(name)
            except OSError:
                pass
        self.ready = ready


class Caller(threading.Thread):
    """Sends fan-out queries on a keep-alive connection until a response closes it."""

    def __init__(self, f, balancer, number, stop):
        super().__init__()
        self.f, self.balancer, self.number, self.stop = f, balancer, number, stop
        self.sent = 0
        self.failures = []

    def run(self):
        connection = None
        while not self.stop.is_set():
            if connection is None:
                ready = self.balancer.ready
                name = ready[(self.number + self.sent) % len(ready)]
                connection = fleet.http_client(self.f.daemons[name].port, 10)
            self.sent += 1
            try:
                connection.request("POST", "/v1/claims-search", json.dumps(
                    {"query": f"q-{self.number}-{self.sent}"}))
                response = connection.getresponse()
                answer = json.loads(response.read())
                if answer["outcome"] != "complete":
                    self.failures.append((name, answer["outcome"], answer["reason"]))
                closes = response.getheader("Connection", "").lower() == "close"
            except (OSError, http.client.HTTPException, ValueError) as error:
                self.failures.append((name, repr(error)))
                closes = True
            if closes:
                connection.close()
                connection = None
            time.sleep(0.005)


def stop_daemon(f, name):
    """Stops a daemon with SIGTERM; returns the failures seen during the balancer delay and exit."""
    daemon = f.daemons[name]
    idle_connection = fleet.http_client(daemon.port, 10)
    idle_connection.request("GET", "/healthz")
    idle_connection.getresponse().read()
    daemon.child.terminate()
    started = time.monotonic()
    time.sleep(0.05)
    failures = []
    while time.monotonic() - started < BALANCER_DELAY_MS / 1000 * 0.75:
        # Guards against refusing requests before the balancer has seen the readiness change.
        answer = f.query(name, "claims-search", "during-the-delay")
        if answer["outcome"] != "complete":
            failures.append((name, answer["outcome"], answer["reason"]))
        if fleet.exchange(daemon.port, "GET", "/readyz")[0] != 503:
            failures.append((name, "still ready"))
        time.sleep(0.02)
    # Guards against exiting without closing keep-alive connections gracefully.
    idle_connection.request("GET", "/healthz")
    response = idle_connection.getresponse()
    response.read()
    if response.getheader("Connection", "").lower() != "close":
        failures.append((name, "the last answer does not close the connection"))
    idle_connection.close()
    code = daemon.child.wait(30)
    if code != 0:
        failures.append((name, "exit code", code))
    return failures


def main():
    with fleet.Fleet(services=4, replicas=3, balancer_delay_ms=BALANCER_DELAY_MS) as f:
        balancer = Balancer(f)
        stop = threading.Event()

        def poll():
            while not stop.is_set():
                balancer.poll()
                time.sleep(0.05)
        poller = threading.Thread(target=poll)
        callers = [Caller(f, balancer, i, stop) for i in range(CALLERS)]
        for thread in [poller] + callers:
            thread.start()
        failures = []
        try:
            time.sleep(0.5)
            for name in list(f.daemons):
                failures += stop_daemon(f, name)
                f.start_daemon(name)
                f.wait_ready(name)
                time.sleep(0.3)
        finally:
            stop.set()
            for thread in [poller] + callers:
                thread.join()
        for caller in callers:
            failures += caller.failures
        sent = sum(caller.sent for caller in callers)
        print(f"{sent} requests, {len(failures)} faults: {failures[:10]}")
        return 1 if failures or sent < 100 else 0


if __name__ == "__main__":
    sys.exit(main())
