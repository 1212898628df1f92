"""Runs the benchmarks; exits with 1 if a figure violates its bound."""

import argparse
import json
import subprocess
import sys

import bench_cold
import bench_fleet
import bench_query
import fleet
import report

PROGRAMS = ["gateway_bench", "limits_bench", "membership_bench", "metrics_bench"]


def run_program(name, target):
    """Runs a benchmark program and reports the figures from its JSON lines."""
    output = subprocess.run([f"{fleet.BUILD}/bench/{name}"], check=False,
                            capture_output=True, text=True).stdout
    for line in output.splitlines():
        figure = json.loads(line)
        target.figure(figure["name"], figure["value"], figure["bound"],
                      figure["unit"], figure["ok"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="name of one benchmark")
    parser.add_argument("--seconds", type=float, default=6,
                        help="duration of each load phase")
    parser.add_argument("--holds", type=int, default=10000)
    arguments = parser.parse_args()
    result = report.Report()
    seconds = arguments.seconds
    benchmarks = {
        "calm": lambda: bench_query.calm_and_slow(result, seconds),
        "killed": lambda: bench_query.killed_and_frozen(result, seconds),
        "failing": lambda: bench_query.failing_service(result, seconds),
        "overload": lambda: bench_query.overload(result, seconds),
        "holds": lambda: bench_query.holds(result, arguments.holds),
        "cold": lambda: bench_cold.cold_starts(result, seconds),
        "configuration": lambda: bench_fleet.configuration(result),
        "domain": lambda: bench_fleet.failure_domain(result, seconds),
        "holder": lambda: bench_fleet.killed_and_frozen_holder(result, seconds),
        "stop": lambda: bench_fleet.graceful_stop(result, seconds),
        "outage": lambda: bench_fleet.outage(result, seconds),
        "replaced": lambda: bench_fleet.replaced_vms(result, seconds),
        "control": lambda: bench_fleet.control_cost(result, seconds),
        "programs": lambda: [run_program(p, result) for p in PROGRAMS],
        "cost": lambda: bench_query.cost_by_fan_out(result, seconds / 2),
    }
    for name, run in benchmarks.items():
        if arguments.only in (None, name):
            run()
    if result.violations:
        print("bench: broken bounds: " + ", ".join(result.violations), file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
