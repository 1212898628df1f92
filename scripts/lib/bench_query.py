"""Benchmarks of the query path, bounded by the users' targets."""

import os
import random
import signal
import tempfile
import threading
import time

import fleet

SLOTS = 3


def received(f):
    return sum(s["received"] for s in f.stats().values())


def service_received(f, service):
    return sum(s["received"] for name, s in f.stats().items()
               if name.startswith(f"claims-{service}-"))


def complete_share(result):
    return result["outcomes"].get("complete", 0) / max(1, result["sent"])


def measured_load(f, **options):
    """Runs a load; returns its result and the upstream requests per primary attempt."""
    before = received(f)
    result = f.load(**options)
    time.sleep(0.3)
    per_primary = (received(f) - before) / max(1, result["sent"] * f.services)
    return result, per_primary


def direct_slowest_p99(f, seconds):
    """Estimates the p99 of the slowest part of a fan-out query.

    Samples latencies of requests sent directly to the upstreams and draws one
    for each service.
    """
    samples = []
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "record")
        ports = [f.upstreams[f"claims-{s}-0"].port for s in range(f.services)]
        f.load(ports=ports, direct=True, callers=len(ports), seconds=seconds,
               record=path, rate=60 * len(ports))
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                samples.append(float(line.split()[2]))
    generator = random.Random(1)
    slowest = sorted(max(generator.choices(samples, k=f.services))
                     for _ in range(20000))
    return slowest[int(len(slowest) * 0.99)]


def calm_and_slow(report, seconds):
    with fleet.Fleet() as f:
        f.load(seconds=1.5, callers=3, rate=60, prefix="warm")
        direct = direct_slowest_p99(f, seconds)
        calm, per_primary = measured_load(f, seconds=seconds, callers=6, rate=60)
        report.at_most("calm_p99_against_slowest_part", calm["p99_ms"] / direct, 1.3, "ratio")
        report.at_most("calm_extra_load", per_primary - 1, 0.02, "ratio")
        report.at_most("calm_wrong_answers", calm["wrong"] + calm["misrouted"], 0, "answers")

        f.fault("claims-4-1", slow_factor=20)
        slow, per_primary = measured_load(f, seconds=seconds, callers=6, rate=60, prefix="s")
        f.fault("claims-4-1", slow_factor=1)
        report.at_most("slow_replica_p99_against_calm", slow["p99_ms"] / calm["p99_ms"], 1.5, "ratio")
        report.at_most("slow_replica_extra_load", per_primary - 1, 0.05, "ratio")
        report.at_least("slow_replica_complete", complete_share(slow), 0.999, "ratio")
        report.at_most("slow_replica_wrong_answers", slow["wrong"], 0, "answers")
        report.at_most("slots_exceeded", count_over_slots(f), 0, "replicas")


def count_over_slots(f):
    return sum(1 for s in f.stats().values() if s["most_running"] > f.slots)


def killed_and_frozen(report, seconds):
    with fleet.Fleet() as f:
        f.load(seconds=1.5, callers=3, rate=60, prefix="warm")
        calm = f.load(seconds=seconds, callers=6, rate=60, prefix="c")
        load = f.start_load(seconds=seconds, callers=6, rate=60)
        time.sleep(seconds * 0.3)
        f.upstreams["claims-2-0"].kill()
        f.upstreams["claims-7-1"].signal(signal.SIGSTOP)
        result = fleet.finish_load(load)
        f.upstreams["claims-7-1"].signal(signal.SIGCONT)
        report.at_least("killed_and_frozen_complete", complete_share(result), 0.999, "ratio")
        report.at_most("killed_and_frozen_false_coverage", result["wrong"], 0, "answers")
        report.at_most("killed_and_frozen_p99_against_calm", result["p99_ms"] / calm["p99_ms"], 2, "ratio")


def failing_service(report, seconds):
    with fleet.Fleet() as f:
        f.load(seconds=1, callers=3, rate=60, prefix="warm")
        for replica in range(f.replicas):
            f.fault(f"claims-3-{replica}", fail_all=True)
        before = service_received(f, 3)
        result = f.load(seconds=seconds, callers=6, rate=120)
        time.sleep(0.3)
        per_primary = (service_received(f, 3) - before) / result["sent"]
        report.at_most("failing_service_requests_per_primary", per_primary, 1.1, "ratio")
        report.at_most("failing_service_false_coverage", result["wrong"], 0, "answers")


def overload(report, seconds):
    # Slow upstreams make their slots the bottleneck instead of the CPU.
    with fleet.Fleet(service_ms=20) as f:
        f.load(seconds=1, callers=3, rate=60, prefix="warm")
        peak = 0
        for callers in (6, 12, 24):
            result = f.load(seconds=seconds, callers=callers,
                            prefix=f"p{callers}", deadline_ms=250)
            peak = max(peak, result["goodput"])
        double = f.load(seconds=seconds, callers=200, rate=2 * peak,
                        prefix="d", deadline_ms=250)
        report.at_least("overload_goodput_against_peak", double["goodput"] / peak, 0.9, "ratio")
        report.measured("overload_peak_goodput", peak, "sweeps/s")
        report.at_most("overload_slots_exceeded", count_over_slots(f), 0, "replicas")
        report.at_most("overload_wrong_answers", double["wrong"], 0, "answers")


def holds(report, count):
    """Runs holds while upstreams are killed, suspended, slow, muted or lose responses."""
    stop = threading.Event()
    killed_runs = {}

    def inject_faults(f):
        generator = random.Random(7)
        while not stop.is_set():
            name = f"claims-{generator.randrange(f.services)}-{generator.randrange(f.replicas)}"
            kind = generator.choice(["lose", "mute", "freeze", "slow", "kill"])
            if kind == "lose":
                f.fault(name, lose_answers=True)
                time.sleep(0.1)
                f.fault(name, lose_answers=False)
            elif kind == "mute":
                f.fault(name, mute_open_connections=True)
            elif kind == "freeze":
                f.upstreams[name].signal(signal.SIGSTOP)
                time.sleep(0.2)
                f.upstreams[name].signal(signal.SIGCONT)
            elif kind == "slow":
                f.fault(name, slow_factor=30)
                time.sleep(0.2)
                f.fault(name, slow_factor=1)
            else:
                old = f.upstreams[name]
                service, replica = name.split("-")[1:]
                for query, runs in f.stats()[name]["runs_by_query"].items():
                    killed_runs.setdefault(query, 0)
                    killed_runs[query] += runs
                old.kill()
                f.start_upstream(int(service), int(replica), port=old.port)

    with fleet.Fleet() as f, tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "record")
        thread = threading.Thread(target=inject_faults, args=(f,))
        thread.start()
        try:
            result = f.load(route="face-hold", count=count, callers=24,
                            seconds=240, deadline_ms=600, record=path,
                            no_verify=True)
        finally:
            stop.set()
            thread.join()
        time.sleep(0.8)
        runs = dict(killed_runs)
        for stats in f.stats().values():
            for query, number in stats["runs_by_query"].items():
                runs[query] = runs.get(query, 0) + number
        outcomes = {}
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                query, outcome, _ = line.split()
                outcomes[query] = outcome
        report.at_least("holds_sent", result["sent"], count, "holds")
        report.at_most("holds_run_twice", sum(1 for n in runs.values() if n > 1), 0, "holds")
        report.at_most("holds_false_not_run",
                       sum(1 for q, o in outcomes.items() if o == "refused" and runs.get(q)),
                       0, "holds")
        report.at_most("holds_unanswered", result["unanswered"], 0, "holds")
        report.measured("holds_complete", result["outcomes"].get("complete", 0) / result["sent"], "ratio")
        report.measured("holds_unknown", result["outcomes"].get("unknown", 0) / result["sent"], "ratio")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def cost_by_fan_out(report, seconds):
    base = None
    for services in (10, 54, 162):
        with fleet.Fleet(services=services, replicas=1, daemons=1, slots=8, seats=1,
                         service_ms=1, connect_ms=1) as f:
            f.load(seconds=1, callers=2, prefix="warm", no_verify=True)
            pid = f.daemons["daemon-0"].child.pid
            before = cpu_seconds(pid)
            result = f.load(seconds=seconds, callers=6, no_verify=True)
            cpu = cpu_seconds(pid) - before
            sweeps = max(1, result["outcomes"].get("complete", 0))
            part_us = cpu / (sweeps * services) * 1e6
            report.measured(f"sweeps_per_core_second_fan_out_{services}", sweeps / max(cpu, 0.01), "sweeps")
            report.measured(f"cpu_per_part_fan_out_{services}", part_us, "us")
            base = base or part_us
            if services != 10:
                report.measured(f"cpu_per_part_fan_out_{services}_against_10", part_us / base, "ratio")
