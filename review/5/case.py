"""A replica leaves while one machine is cut off from the store, and says so in its answers."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import BOUNDS, TROUBLE, ZONES, Cut, Replica, exchange, request_bytes, run  # noqa: E402

GATEWAYS, REPLICAS, CLIENTS = 3, 9, 36
# One machine is cut off from the store for 5.5 s (`core_cut` of the site), and one replica of nine leaves (0.11; the site
# has a share of 0.13). It goes on for 2 s after `drain_ms`.
BEFORE_S, CUT_S, LEAVES_AFTER_S, AFTER_S, LONGER_S = 5.0, 5.5, 0.2, 6.0, 2.0


class LeavingReplica(Replica):
    is_leaving = False

    def headers(self, request_id):
        return super().headers(request_id) + ([("Server-Leaving", "1")] if self.is_leaving else [])

    async def leave(self):
        """Reports that it drains and says so in all answers, serves for `drain_ms` and a little longer, and exits."""
        self.is_leaving, self.state = True, "draining"
        await self.register()
        self.world.record(f"replica {self.name}: leaves; the store has accepted its report, all its answers say so")
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + LONGER_S)
        self.world.record(f"replica {self.name}: exits")
        await self.end()
        await self.world.store.remove("servers", self.name)


async def client(world, index, sent, answers, passed_on, stop_at):
    number = 0
    while time.monotonic() < stop_at:
        number += 1
        request_id, gateway = f"q{index}-{number}", random.choice(world.gateways)
        sent[request_id] = time.monotonic(), gateway.name
        headers = [("Host", "desk.example"), ("X-Request-Id", request_id), ("X-Request-Deadline", "2000")]
        response = await exchange(gateway.front, request_bytes("POST", "/hold/1", headers, b"booking"), 3)
        answers[request_id] = int(response.start.split(" ")[1]) if response else 0
        world.record(f"client: {request_id} at {gateway.name}: {answers[request_id] or 'no answer'}")
        if response and response.get("Server-Leaving"):
            name = response.get("X-Server-Stamp").split(".")[0]
            if (gateway.name, name) not in passed_on:
                world.record(f"client: {gateway.name} has passed on that {name} leaves")
                passed_on[gateway.name, name] = time.monotonic()
        await asyncio.sleep(random.expovariate(40))


def busiest(world, replicas, sent, gateway):
    """The replica that has run most of the newest requests of a machine."""
    recent = [run[1] for request_id, runs in world.runs.items() for run in runs
              if sent[request_id][1] == gateway and run[0] > time.monotonic() - 0.5]
    return max(replicas, key=recent.count)


async def play(world):
    replicas = [LeavingReplica(world, f"i-{i}", "clerk-docket", ZONES[i % 3], work_s=0.12, slots=3)
                for i in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    await world.store.put("config", "main", {
        "version": 3, "services": [{"name": "clerk-docket", "health_path": "/health", "max_conns": 110, "warmup_s": 3,
                                    "cold_per_s": 0}],
        "routes": [{"name": "hold", "host": "desk.example", "path_prefix": "/hold/", "kind": "unsafe",
                    "service": "clerk-docket", "timeout_ms": 2000, "goal_ms": 500, "max_attempts": 2, "priority": 1}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 10000}})
    cut = Cut(world, world.store.port)
    await cut.start()
    world.gateways[0].store_port = cut.port
    world.start_gateways()
    await world.wait_until_ready()
    sent, answers, passed_on = {}, {}, {}
    stop_at = time.monotonic() + BEFORE_S + CUT_S + AFTER_S
    clients = [asyncio.create_task(client(world, i, sent, answers, passed_on, stop_at)) for i in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        cut.begin()
        world.record(f"network: {world.gateways[0].name} is cut off from the store")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = asyncio.create_task(busiest(world, replicas, sent, world.gateways[0].name).leave())
    await asyncio.sleep(CUT_S - LEAVES_AFTER_S)
    cut.end()
    world.record("network: the cut is over")
    await asyncio.gather(*clients, leaving)
    late, lost = set(), set()
    for request_id, runs in world.runs.items():
        sent_at, gateway = sent[request_id]
        for _, replica, _, _, _ in runs:
            told = passed_on.get((gateway, replica.name))
            if not told or sent_at <= told + BOUNDS["drain_ms"] / 1000:
                continue
            late.add(request_id)
            if answers[request_id] != 200:
                lost.add(request_id)
            world.record(f"late: {request_id} reaches {replica.name} from {gateway}, sent {sent_at - told:.2f} s after "
                         f"{gateway} passed on that it leaves; answered {answers[request_id]}")
    world.record.say(f"{len(sent)} requests, {len(late)} of them reach the leaving replica later than "
                     f"{BOUNDS['drain_ms']} ms after their machine passed on its Server-Leaving, {len(lost)} of these had "
                     f"begun to run there when it exited and are lost")
    return [f"DRAIN: {len(late)} requests reach a leaving replica too late"] if late else []


if __name__ == "__main__":
    run(FOLDER, GATEWAYS, play)
