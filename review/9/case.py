"""Case: when an evacuation ends, daemons send a full load to replicas whose entries already say that they are cold."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
import world as w  # noqa: E402

ZONES = ["z1", "z2", "z3"]
SERVICES = 10
PER_S = 180.0          # Requests a second for the service that is watched, as of a shard of the small deployments.
COLD_PER_S = 4.0
WARMUP_S = 3.0
EVACUATED_S = 5.0
WATCHED = "claims-4"


class ColdReplica(w.Replica):
    """Stays cold for `WARMUP_S` from `cold_from`; a request takes 1.6 times as long then."""

    def __init__(self, *args):
        super().__init__(*args)
        self.cold_from = None

    def is_cold(self, now):
        return self.cold_from is not None and now < self.cold_from + WARMUP_S

    def entry(self, state="ready"):
        now = time.monotonic()
        left = int((self.cold_from + WARMUP_S - now) * 1000) if self.is_cold(now) else 0
        return dict(super().entry(state), cold_remaining_ms=left)

    async def respond(self, request, writer):
        if self.is_cold(time.monotonic()):
            await asyncio.sleep(0.6 * self.work_s)
        await super().respond(request, writer)


async def send(gateways, until, counts):
    number, tasks = 0, set()

    async def one(gateway, request_id):
        reply = await w.request(gateway.front, "GET", "leno12.example", f"/case/{request_id}", request_id, 1.2)
        counts[reply[0] if reply else None] = counts.get(reply[0] if reply else None, 0) + 1

    next_at = time.monotonic()
    while time.monotonic() < until:
        number += 1
        task = asyncio.ensure_future(one(random.choice(gateways), f"c{number}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        next_at += random.expovariate(PER_S)
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)


def most_in_a_second(times):
    return max((sum(1 for t in times if start <= t < start + 1.0) for start in times), default=0)


async def case(record, folder, gateways):
    store = w.Store()
    await store.start()
    replicas = [ColdReplica(f"i-{s}-{zone}", f"claims-{s}", zone, 0.01) for s in range(SERVICES) for zone in ZONES]
    for replica in replicas:
        await replica.start()
        await store.put("servers", replica.name, replica.entry())
    route = {"name": "r-case", "host": "leno12.example", "path_prefix": "/case/", "kind": "safe", "timeout_ms": 1200,
             "goal_ms": 120, "priority": 1, "service": WATCHED, "max_attempts": 2}
    services = [{"name": f"claims-{s}", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False,
                 "warmup_s": WARMUP_S, "cold_per_s": COLD_PER_S} for s in range(SERVICES)]
    await store.put("config", "main", {"version": 3, "routes": [route], "services": services, "limits": w.LIMITS})
    for i in range(9):
        gateways.append(w.Gateway(f"frontend-{ZONES[i % 3]}-{i}", ZONES[i % 3], folder, store.port))
    seeds = [f"{w.HOST}:{g.control}" for g in gateways[:3]]
    for gateway in gateways:
        gateway.start(seeds, w.BOUNDS)
    await w.wait_ready(gateways)
    await asyncio.sleep(8)
    counts = {}
    until = time.monotonic() + 3 + EVACUATED_S + 5
    callers = asyncio.ensure_future(send(gateways, until, counts))
    await asyncio.sleep(3)
    await store.put("evacuations", "z1", {})
    record.say("z1 is evacuated")
    await asyncio.sleep(EVACUATED_S)
    if w.TROUBLE:
        cold_from = time.monotonic()
        for replica in replicas:
            if replica.zone == "z1":
                replica.cold_from = cold_from
                await store.put("servers", replica.name, replica.entry())
                await asyncio.sleep(0.005)
        record.say("the replicas of z1 have become cold; the store has acknowledged all their entries")
    await store.remove("evacuations", "z1")
    removed = time.monotonic()
    record.say("the evacuation is taken back")
    await callers
    allowed = COLD_PER_S * w.BOUNDS["cold_overage"] + w.BOUNDS["cold_slack"]
    broken = False
    for replica in replicas:
        if replica.zone != "z1" or replica.service != WATCHED:
            continue
        times = [run[0] for run in replica.runs]
        cold = [t for t in times if replica.is_cold(t) and t >= replica.cold_from]
        most = most_in_a_second(cold)
        record.say(f"{replica.name}: {len(times)} requests, {len(cold)} while cold, at most {most} in a second; allowed {allowed}")
        record.write("  arrivals while cold, seconds after the evacuation was taken back: " +
                     " ".join(f"{t - removed:.3f}" for t in cold[:60]))
        broken = broken or most > allowed
    record.say(f"answers to the clients: {counts}")
    return not broken


if __name__ == "__main__":
    w.run_case(HERE, case)
