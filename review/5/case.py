"""A roll-out of a version that is bad under load only: above half of the load of its service."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import BOUNDS, TROUBLE, ZONES, Replica, exchange, request_bytes, run  # noqa: E402

GATEWAYS, REPLICAS, REQUESTS_PER_S = 3, 3, 30
ORDER_S, WARM_S, AFTER_S = 20.0, 5.0, 15.0
# The version fails this share of its requests in each second in which all its replicas together get more than so many.
BAD_SHARE, BAD_ABOVE_PER_S = 0.6, 15


class VersionReplica(Replica):
    """A replica that knows the load of all replicas of its version."""

    def result(self, request_id, method, target):
        now = time.monotonic()
        arrivals = self.world.arrivals
        arrivals.append([now, self.version, False])
        recent = sum(1 for at, version, _ in arrivals if version == self.version and now - at < 1.0)
        if TROUBLE and self.version == "v2" and recent > BAD_ABOVE_PER_S and random.random() < BAD_SHARE:
            arrivals[-1][2] = True
            return 500, [], b"too many open files"
        return super().result(request_id, method, target)


async def start_version(world, version):
    replicas = [VersionReplica(world, f"i-{version}-{i}", "clerk-docket", ZONES[i % 3], version, 0.02, 6)
                for i in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    return replicas


async def operate(world, old):
    """Orders the version, and stops the replicas that the decision makes needless, as the platform does."""
    ordered = time.monotonic()
    await world.store.put("rollouts", "clerk-docket", {"service": "clerk-docket", "target_version": "v2",
                                                       "duration_s": ORDER_S})
    world.record("operator: orders version v2")
    new = await start_version(world, "v2")
    while time.monotonic() < ordered + ORDER_S + AFTER_S:
        status = world.store.objects["rollouts"]["clerk-docket"]["status"] or {}
        if status.get("target_version") == "v2" and status.get("state") in ("completed", "rolled_back"):
            world.record(f"operator: sees {status['state']} {time.monotonic() - ordered:.1f} s after the order")
            if status["state"] == "completed":
                for replica in old:
                    await replica.end()
                    await world.store.remove("servers", replica.name)
            else:
                await asyncio.sleep(2)
                for replica in new:
                    replica.state = "draining"
                    await replica.register()
            return ordered, status["state"], time.monotonic() - ordered
        await asyncio.sleep(0.02)
    return ordered, "in_progress", ORDER_S


async def client(world, stop_at):
    number, tasks = 0, set()

    async def send(request_id, gateway):
        headers = [("Host", "desk.example"), ("X-Request-Id", request_id), ("X-Request-Deadline", "2000")]
        response = await exchange(gateway.front, request_bytes("POST", "/hold/1", headers, b"booking"), 3)
        world.record(f"client: {request_id}: {response.start.split(' ')[1] if response else 'no answer'}")

    while time.monotonic() < stop_at:
        number += 1
        task = asyncio.create_task(send(f"q{number}", random.choice(world.gateways)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


async def play(world):
    world.arrivals = []  # Of all replicas: time, version, whether the response was a failure.
    old = await start_version(world, "v1")
    await world.store.put("config", "main", {
        "version": 3, "services": [{"name": "clerk-docket", "health_path": "/health", "max_conns": 110, "warmup_s": 3,
                                    "cold_per_s": 0}],
        "routes": [{"name": "hold", "host": "desk.example", "path_prefix": "/hold/", "kind": "unsafe",
                    "service": "clerk-docket", "timeout_ms": 2000, "goal_ms": 500, "max_attempts": 2, "priority": 1}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 10000}})
    world.start_gateways()
    await world.wait_until_ready()
    calls = asyncio.create_task(client(world, time.monotonic() + WARM_S + ORDER_S + AFTER_S))
    await asyncio.sleep(WARM_S)
    ordered, state, after_s = await operate(world, old)
    await calls
    during = [a for a in world.arrivals if ordered <= a[0] <= ordered + ORDER_S]
    target = [a for a in world.arrivals if a[1] == "v2"]
    got, bad = sum(1 for a in during if a[1] == "v2"), [a[0] for a in target if a[2]]
    allowed = BOUNDS["exposure_share"] * len(during) + BOUNDS["exposure_slack"]
    late = sum(1 for a in target if len(bad) >= 50 and a[0] > bad[49] + BOUNDS["rollback_ms"] / 1000)
    world.record.say(f"{state} after {after_s:.1f} s of {ORDER_S:.0f}; v2 got {got} of {len(during)} requests by the "
                     f"deadline, {allowed:.0f} are allowed, {len(bad)} bad answers, {late} requests later than "
                     f"{BOUNDS['rollback_ms']} ms after the 50th")
    if not TROUBLE:
        return [] if state == "completed" else [f"the good version is {state}"]
    broken = []
    if got > allowed:
        broken.append(f"EXPOSURE: the bad version gets {got} requests by the deadline, {allowed:.0f} are allowed")
    if late:
        broken.append(f"EXPOSURE: the bad version gets {late} requests after its 50th bad answer and the bound")
    return broken


if __name__ == "__main__":
    run(FOLDER, GATEWAYS, play)
