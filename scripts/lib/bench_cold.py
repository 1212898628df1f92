"""Benchmarks of replica cold starts, bounded by the users' targets."""

import time

import fleet
from bench_query import complete_share

COLD_REPLICA = "claims-4-1"


def loaded_fleet(daemons=1):
    # Slow upstreams keep the load high enough that the cold replica is always needed.
    return fleet.Fleet(daemons=daemons, seats=daemons, service_ms=20)


def sibling_replicas(f):
    return [f"claims-4-{r}" for r in range(f.replicas) if f"claims-4-{r}" != COLD_REPLICA]


def same_domain_replicas(f):
    replica = COLD_REPLICA.rsplit("-", 1)[1]
    return [f"claims-{s}-{replica}" for s in range(f.services)
            if f"claims-{s}-{replica}" != COLD_REPLICA]


def count_overloaded(f, names):
    stats = f.stats()
    return sum(1 for name in names
               if stats[name]["most_running"] > f.slots or stats[name]["shed"] > 0)


def run_cold_phase(f, seconds, prefix, **faults):
    """Makes a replica cold under load; returns the load result and the replica's statistics."""
    before = f.stats()[COLD_REPLICA]
    load = f.start_load(seconds=seconds, callers=9, prefix=prefix)
    time.sleep(seconds * 0.2)
    f.fault(COLD_REPLICA, **faults)
    result = fleet.finish_load(load)
    after = f.stats()[COLD_REPLICA]
    return result, {key: after[key] - before[key]
                    for key in ("cold_over", "received", "finished", "shed")}


def announced_limit(report, seconds):
    with loaded_fleet() as f:
        f.load(seconds=1.5, callers=3, rate=60, prefix="warm")
        calm = f.load(seconds=seconds, callers=9, prefix="c")
        result, cold = run_cold_phase(f, seconds, "a", cold_limit=1, cold_slow_factor=2)
        # Until the first response announces the limit, only the slots bound the requests in flight.
        report.at_most("cold_announced_over_limit", cold["cold_over"], f.slots, "requests")
        report.at_least("cold_announced_received", cold["received"], 1, "requests")
        report.at_least("cold_announced_complete", complete_share(result), 0.999, "ratio")
        report.at_most("cold_announced_siblings_overloaded", count_overloaded(f, sibling_replicas(f)), 0, "replicas")
        report.at_most("cold_announced_domain_overloaded", count_overloaded(f, same_domain_replicas(f)), 0, "replicas")
        report.measured("cold_announced_p99_against_calm", result["p99_ms"] / calm["p99_ms"], "ratio")

        result, steady = run_cold_phase(f, seconds, "b", cold_limit=1)
        report.at_most("cold_steady_over_limit", steady["cold_over"], 0, "requests")
        report.at_least("cold_steady_complete", complete_share(result), 0.999, "ratio")


def unannounced_limit(report, seconds):
    with loaded_fleet() as f:
        f.load(seconds=1.5, callers=3, rate=60, prefix="warm")
        result, cold = run_cold_phase(f, seconds, "s", cold_limit=1, cold_silent=True,
                                  cold_slow_factor=2)
        # The limit is not announced, so each ramp may exceed it once after eight fast responses.
        bound = f.slots + 1 + cold["finished"] / 8
        report.at_most("cold_silent_over_limit", cold["cold_over"], bound, "requests")
        report.at_least("cold_silent_complete", complete_share(result), 0.999, "ratio")
        report.at_most("cold_silent_siblings_overloaded", count_overloaded(f, sibling_replicas(f)), 0, "replicas")
        report.at_most("cold_silent_domain_overloaded", count_overloaded(f, same_domain_replicas(f)), 0, "replicas")


def several_daemons(report, seconds):
    with loaded_fleet(daemons=3) as f:
        f.load(seconds=1.5, callers=3, rate=60, prefix="warm")
        result, cold = run_cold_phase(f, seconds, "d", cold_limit=1, cold_slow_factor=2)
        report.at_most("cold_three_daemons_over_limit", cold["cold_over"], f.slots, "requests")
        report.at_least("cold_three_daemons_complete", complete_share(result), 0.999, "ratio")
        report.at_most("cold_three_daemons_overloaded",
                       count_overloaded(f, sibling_replicas(f) + same_domain_replicas(f)), 0, "replicas")

        result, steady = run_cold_phase(f, seconds, "e", cold_limit=1)
        report.at_most("cold_three_daemons_steady_over_limit", steady["cold_over"], 0, "requests")
        report.at_least("cold_three_daemons_steady_received", steady["received"], 1, "requests")


def cold_starts(report, seconds):
    announced_limit(report, seconds)
    unannounced_limit(report, seconds)
    several_daemons(report, seconds)
