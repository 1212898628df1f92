"""All replicas of a service are down for a moment and come back cold."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import BOUNDS, TROUBLE, ZONES, Replica, exchange, request_bytes, run  # noqa: E402

GATEWAYS, REPLICAS, REQUESTS_PER_S = 9, 3, 60
BEFORE_S, DOWN_S, AFTER_S = 6.0, 4.5, 12.0
WARMUP_S, COLD_PER_S = 3.0, 1.0
BOUND = COLD_PER_S * BOUNDS["cold_overage"] + BOUNDS["cold_slack"]
RESTART_S = 1.0


class ColdReplica(Replica):
    """A replica that is cold for `warmup_s` after its start, if it starts during traffic.

    While cold, it tolerates the bound of the rule and crashes at the next request in the same second.
    """

    def __init__(self, world, index, incarnation):
        super().__init__(world, f"i-{incarnation}-{index}", "clerk-docket", ZONES[index % 3], work_s=0.05, slots=3)
        self.index, self.incarnation, self.arrivals = index, incarnation, []
        self.cold_until = time.monotonic() + WARMUP_S if incarnation else 0.0

    def entry(self):
        left_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {**super().entry(), "cold_remaining_ms": left_ms}

    async def answer(self, request, writer):
        now = time.monotonic()
        if request.get("X-Expect-Instance") in ("", self.name):
            self.arrivals.append((now, request.get("X-Request-Id")))
        recent = sum(1 for at, _ in self.arrivals if now - at < 1.0)
        if now < self.cold_until and recent > BOUND and not self.has_ended:
            self.world.record(f"replica {self.name}: crashes at {recent} requests in a second")
            asyncio.create_task(restart(self))
            return
        await super().answer(request, writer)


async def restart(replica):
    """Ends a replica; the platform starts it again after a moment, with a new id."""
    await replica.end()
    await asyncio.sleep(RESTART_S)
    await replica.world.store.remove("servers", replica.name)
    again = ColdReplica(replica.world, replica.index, replica.incarnation + 1)
    await again.start()
    replica.world.back.append(again)


async def come_back(world):
    world.back = [ColdReplica(world, i, 1) for i in range(REPLICAS)]
    for replica in world.back:
        await replica.start()
    world.record("trouble: they are back, cold")


async def client(world, sent, answers, stop_at):
    number, tasks = 0, set()

    async def send(request_id, gateway):
        sent[request_id] = time.monotonic()
        headers = [("Host", "desk.example"), ("X-Request-Id", request_id), ("X-Request-Deadline", "2000")]
        response = await exchange(gateway.front, request_bytes("POST", "/hold/1", headers, b"booking"), 3)
        answers[request_id] = int(response.start.split(" ")[1]) if response else 0
        world.record(f"client: {request_id} at {gateway.name}: {answers[request_id] or 'no answer'}")

    while time.monotonic() < stop_at:
        number += 1
        task = asyncio.create_task(send(f"q{number}", random.choice(world.gateways)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


def most_in_a_second(replica, sent):
    """The most requests that were sent and reached the cold replica inside some second."""
    cold = [(at, sent[i]) for at, i in replica.arrivals if at < replica.cold_until]
    return max((sum(1 for at, sent_at in cold if end - 1.0 < sent_at and end - 1.0 < at <= end) for end, _ in cold),
               default=0)


async def play(world):
    replicas = [ColdReplica(world, i, 0) for i in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    await world.store.put("config", "main", {
        "version": 3, "services": [{"name": "clerk-docket", "health_path": "/health", "max_conns": 110,
                                    "warmup_s": WARMUP_S, "cold_per_s": COLD_PER_S}],
        "routes": [{"name": "hold", "host": "desk.example", "path_prefix": "/hold/", "kind": "unsafe",
                    "service": "clerk-docket", "timeout_ms": 2000, "goal_ms": 500, "max_attempts": 2, "priority": 1}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 10000}})
    world.start_gateways()
    await world.wait_until_ready()
    sent, answers = {}, {}
    calls = asyncio.create_task(client(world, sent, answers, time.monotonic() + BEFORE_S + DOWN_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    world.back = []
    if TROUBLE:
        world.record("trouble: all replicas of the service crash")
        for replica in replicas:
            await replica.end()
        await asyncio.sleep(3.6)  # Three heartbeat intervals of silence.
        for replica in replicas:
            await world.store.remove("servers", replica.name)
        await asyncio.sleep(DOWN_S - 3.6)
        await come_back(world)
        returned = time.monotonic()
    await calls
    broken = []
    if TROUBLE:
        lost = [i for i, status in answers.items() if i in world.runs and status != 200 and sent[i] > returned]
        later = [status for i, status in answers.items() if sent[i] > returned + WARMUP_S + 1]
        world.record.say(f"{len(world.back) - REPLICAS} crashes of cold replicas, {len(lost)} requests that had run were "
                         f"lost; later than {WARMUP_S + 1:.0f} s after the return {later.count(200)} of {len(later)} were "
                         f"served")
    counts = {replica.name: most_in_a_second(replica, sent) for replica in world.back}
    over = {name: most for name, most in counts.items() if most > BOUND}
    for name, most in counts.items():
        world.record(f"{name}: at most {most} requests sent and arrived in one second while cold, {BOUND} are allowed")
    if over:
        broken.append(f"FAILBACK: {len(over)} cold replicas get up to {max(over.values())} requests in one second, {BOUND} "
                      f"are allowed")
    return broken


if __name__ == "__main__":
    run(FOLDER, GATEWAYS, play)
