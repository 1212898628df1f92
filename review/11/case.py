"""Half of the replicas spoil few of their answers: the head of such an answer names a length that no answer has."""

import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common-3"))

import callers  # noqa: E402
import world as w  # noqa: E402

EVERY = 25  # A replica in trouble spoils one of so many answers.
LENGTH = 10 ** 15
PLAY_S = 60


class SpoilingReplica(w.Replica):
    """Answers like a sound one, but in trouble some answers have a wrong length and go on until the caller closes."""

    spoils = False
    spoilt = 0

    def send(self, writer, status, rid, fields, body=b""):
        if not self.spoils or status != 200 or len(self.runs) % EVERY != 10:
            super().send(writer, status, rid, fields, body)
            return
        self.spoilt += 1
        self.world.record(f"{self.name} spoils its answer to {rid}")
        writer.write(w.message("HTTP/1.1 200 OK", [("X-Request-Id", rid), ("Content-Length", LENGTH)] + fields, body))
        asyncio.create_task(self.go_on(writer))

    async def go_on(self, writer):
        try:
            for _ in range(100):
                await asyncio.sleep(0.05)
                writer.write(b"z" * 1000)
                await writer.drain()
        except (ConnectionError, OSError):
            pass


async def platform(world, daemon, ends):
    """Starts a process again that has ended by itself."""
    while True:
        await daemon.process.wait()
        ends.append(world.now())
        world.record(f"{daemon.name} ended by itself, code {daemon.process.returncode}")
        await asyncio.sleep(0.5)
        await daemon.start()


async def run(world, trouble):
    w.Replica = SpoilingReplica
    await world.start(3, *callers.docket(w.ZONES))
    ends = {daemon.name: [] for daemon in world.daemons}
    watching = [asyncio.create_task(platform(world, d, ends[d.name])) for d in world.daemons]
    ordinary = [callers.OrdinaryCaller(world, d, 0.05) for d in world.daemons]
    asking = [asyncio.create_task(caller.run(world.now() + PLAY_S)) for caller in ordinary]
    spoiling = [replica for replica in world.replicas if replica.name.endswith("-0")]
    for replica in spoiling:
        replica.spoils = trouble
    await asyncio.gather(*asking)
    for task in watching:
        task.cancel()
    outcomes = [end for caller in ordinary for _, _, end in caller.ends]
    for replica in spoiling:
        world.record(f"answers of {replica.name}: {len(replica.runs)}, spoilt: {replica.spoilt}")
    world.record("ordinary requests: " + ", ".join(f"{outcomes.count(o)} {o}" for o in sorted(set(outcomes), key=str)))
    for name, times in ends.items():
        world.record(f"{name}: ended {len(times)} times by itself")
    if not trouble and outcomes.count(200) < len(outcomes):
        raise w.CannotRun("an ordinary request was not served in calm")
    often = [name for name, times in ends.items() if len(times) >= 3]
    if len(often) >= 2:
        return f"processes ended three times on {len(often)} of {len(world.daemons)} machines: {', '.join(often)}"
    return None


sys.exit(w.play(CASE, run))
