"""Stops three daemons in turn under load and checks that no request is lost."""

import http.client
import json
import sys
import threading
import time

import fleet

CALLERS = 8
DELAY_MS = 800


class Balancer:
    """Sends new connections to daemons that report ready."""

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
    """Sends sweeps on a keep-alive connection until an answer closes it."""

    def __init__(self, f, balancer, number, stop):
        super().__init__()
        self.f, self.balancer, self.number, self.stop = f, balancer, number, stop
        self.sent = 0
        self.faults = []

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
                    self.faults.append((name, answer["outcome"], answer["reason"]))
                closes = response.getheader("Connection", "").lower() == "close"
            except (OSError, http.client.HTTPException, ValueError) as error:
                self.faults.append((name, repr(error)))
                closes = True
            if closes:
                connection.close()
                connection = None
            time.sleep(0.005)


def stop_daemon(f, name):
    """Sends SIGTERM; returns faults of new connections during the delay."""
    daemon = f.daemons[name]
    kept = fleet.http_client(daemon.port, 10)
    kept.request("GET", "/healthz")
    kept.getresponse().read()
    daemon.child.terminate()
    started = time.monotonic()
    time.sleep(0.05)
    faults = []
    while time.monotonic() - started < DELAY_MS / 1000 * 0.75:
        # Guards against a daemon that refuses before the balancer has noticed.
        answer = f.query(name, "claims-search", "during-the-delay")
        if answer["outcome"] != "complete":
            faults.append((name, answer["outcome"], answer["reason"]))
        if fleet.exchange(daemon.port, "GET", "/readyz")[0] != 503:
            faults.append((name, "still ready"))
        time.sleep(0.02)
    # Guards against keep-alive connections that the exit cuts off.
    kept.request("GET", "/healthz")
    response = kept.getresponse()
    response.read()
    if response.getheader("Connection", "").lower() != "close":
        faults.append((name, "the last answer does not close the connection"))
    kept.close()
    code = daemon.child.wait(30)
    if code != 0:
        faults.append((name, "exit code", code))
    return faults


def main():
    with fleet.Fleet(services=4, replicas=3, balancer_delay_ms=DELAY_MS) as f:
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
        faults = []
        try:
            time.sleep(0.5)
            for name in list(f.daemons):
                faults += stop_daemon(f, name)
                f.start_daemon(name)
                f.wait_ready(name)
                time.sleep(0.3)
        finally:
            stop.set()
            for thread in [poller] + callers:
                thread.join()
        for caller in callers:
            faults += caller.faults
        sent = sum(caller.sent for caller in callers)
        print(f"{sent} requests, {len(faults)} faults: {faults[:10]}")
        return 1 if faults or sent < 100 else 0


if __name__ == "__main__":
    sys.exit(main())
