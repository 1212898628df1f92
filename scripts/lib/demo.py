"""Sends one request of each kind through three daemons, then stops them gracefully."""

import sys
import time

import fleet


def run():
    with fleet.Fleet() as f:
        for daemon, (route, text) in zip(
                ["daemon-0", "daemon-1", "daemon-2", "daemon-0"],
                [("claims-search", "creditor"), ("notice-lookup", "notice"),
                 ("case-fetch", "case-17"), ("face-hold", "face-9")]):
            started = time.monotonic()
            answer = f.query(daemon, route, text, {"X-Request-Id": f"demo-{route}"})
            latency_ms = (time.monotonic() - started) * 1000
            print(f"{route:14} {answer['outcome']:9} coverage {answer['coverage']:.3f}"
                  f" snapshot {answer.get('index_version')}@{answer.get('partition_map')}"
                  f" latency {latency_ms:.1f} ms, {len(answer['hits'])} hits")
            if answer["outcome"] != "complete":
                return f"{route} was answered with {answer['outcome']}: {answer['reason']}"
        verification = f.load(seconds=1, callers=2)
        print(f"verified {verification['sent']} sweeps against the data: "
              f"{verification['wrong']} wrong")
        if verification["wrong"] or verification["unanswered"]:
            return f"the load check failed: {verification}"
        for name, daemon in f.daemons.items():
            code = daemon.stop()
            print(f"{name} stopped gracefully with exit code {code}")
            if code != 0:
                return f"{name} exited with {code}"
    return None


if __name__ == "__main__":
    reason = run()
    if reason:
        print(f"demo: failed: {reason}")
        sys.exit(1)
    print("demo: done")
