"""Benchmarks of a cluster of nine daemons."""

import os
import signal
import threading
import time

import fleet
from bench_query import cpu_seconds, count_over_slots

CONTROL_CORE_SHARE = 0.015
CONTROL_MEMORY_MB = 128
CONTROL_BYTES_PER_S = 3000


def seat_holders(f, daemon):
    group = f.status(daemon)["groups"][0]
    return {s["seat"]: s["holder"] for s in group["seats"]}


def any_daemon(f, without=()):
    return next(n for n in f.daemons if n not in without)


def ports_without(f, names):
    return [d.port for n, d in f.daemons.items() if n not in names]


def complete_share(result):
    return result["outcomes"].get("complete", 0) / max(1, result["sent"])


def versions(f, names):
    return [f.status(n)["configuration"]["version"] for n in names]


def seconds_until_in_force(f, names, change):
    """Writes a changed configuration; returns the seconds until all named daemons apply it."""
    before = max(versions(f, names))
    document = f.configuration()
    change(document)
    started = time.monotonic()
    f.put_configuration(document)
    fleet.wait_until(lambda: min(versions(f, names)) > before, 20,
                     "the configuration is in force")
    return time.monotonic() - started


def change_top(document):
    document["routes"][0]["top"] = 9


def configuration(report):
    with fleet.Fleet(daemons=9, services=2) as f:
        names = list(f.daemons)
        report.at_most("configuration_in_force_at_9_of_9",
                       seconds_until_in_force(f, names, change_top), 2, "s")
        frozen = names[4]
        f.daemons[frozen].signal(signal.SIGSTOP)
        remaining = [n for n in names if n != frozen]
        report.at_most("configuration_in_force_at_survivors",
                       seconds_until_in_force(f, remaining, lambda d: None), 5, "s")
        f.daemons[frozen].signal(signal.SIGCONT)
        started = time.monotonic()
        fleet.wait_until(lambda: len(set(versions(f, names))) == 1, 20,
                         "the resumed daemon has caught up")
        report.at_most("configuration_in_force_after_resume",
                       time.monotonic() - started, 5, "s")


def failure_domain(report, seconds):
    """Takes a failure domain out of service under load by a configuration change."""
    with fleet.Fleet(daemons=9) as f:
        names = list(f.daemons)
        load = f.start_load(seconds=seconds + 6, callers=9, rate=80)
        time.sleep(2)
        out = [n for n in f.upstreams if n.endswith("-1")]

        def take_out(document):
            for domain in document["failure_domains"]:
                if domain["name"] == "fd-1":
                    domain.update(in_service=False, generation=1)

        started = time.monotonic()
        seconds_until_in_force(f, names, take_out)
        last, total = time.monotonic(), -1
        while time.monotonic() < started + 5:
            now_total = sum(s["received"] for n, s in f.stats().items() if n in out)
            if now_total != total:
                last, total = time.monotonic(), now_total
            time.sleep(0.05)
        report.at_most("failure_domain_last_new_part", last - started, 3, "s")
        result = fleet.finish_load(load)
        report.at_least("failure_domain_complete", complete_share(result), 0.999, "ratio")
        report.at_most("failure_domain_wrong_answers", result["wrong"], 0, "answers")
        report.at_most("failure_domain_slots_exceeded", count_over_slots(f), 0, "replicas")


def killed_and_frozen_holder(report, seconds):
    """Kills one seat holder and suspends another under load."""
    with fleet.Fleet(daemons=9) as f:
        first = seat_holders(f, "daemon-0")
        killed, frozen = first[0], first[1]
        load = f.start_load(ports=ports_without(f, [killed, frozen]), callers=7,
                            seconds=seconds + 12, rate=80)
        time.sleep(2)
        f.daemons[killed].kill()
        time.sleep(1)
        f.daemons[frozen].signal(signal.SIGSTOP)
        time.sleep(10)
        f.daemons[frozen].signal(signal.SIGCONT)
        result = fleet.finish_load(load)
        report.at_least("holder_lost_complete", complete_share(result), 0.999, "ratio")
        report.at_most("holder_lost_wrong_answers", result["wrong"] + result["misrouted"], 0, "answers")
        report.at_most("holder_lost_slots_exceeded", count_over_slots(f), 0, "replicas")
        observer = any_daemon(f, [killed, frozen])
        moved = seat_holders(f, observer)
        report.at_least("holder_lost_seats_held",
                        len({h for h in moved.values() if h and h != killed}), 3, "daemons")


def graceful_stop(report, seconds):
    """Restarts each daemon in turn under load."""
    with fleet.Fleet(daemons=9, balancer_delay_ms=500) as f:
        stop = threading.Event()
        results = []

        def drive(name):
            # Like a load balancer, sends no requests to a daemon that is not ready.
            while not stop.is_set():
                daemon = f.daemons[name]
                try:
                    ready = fleet.exchange(daemon.port, "GET", "/readyz", timeout_s=2)[0] == 200
                except OSError:
                    ready = False
                if ready:
                    results.append(f.load(ports=[daemon.port], callers=1, seconds=0.3,
                                          rate=20, prefix=f"{name}-{time.monotonic_ns()}"))
                else:
                    time.sleep(0.05)

        threads = [threading.Thread(target=drive, args=(n,)) for n in f.daemons]
        for thread in threads:
            thread.start()
        codes = []
        for name in list(f.daemons):
            codes.append(f.daemons[name].stop())
            f.start_daemon(name)
            time.sleep(seconds / 9)
        stop.set()
        for thread in threads:
            thread.join()
        report.at_most("graceful_stop_requests_cut_off", sum(r["unanswered"] for r in results), 0, "requests")
        report.at_most("graceful_stop_bad_exit_codes", sum(1 for c in codes if c), 0, "daemons")
        sent = sum(r["sent"] for r in results)
        complete = sum(r["outcomes"].get("complete", 0) for r in results)
        report.at_least("graceful_stop_complete", complete / sent, 0.999, "ratio")
        report.at_most("graceful_stop_slots_exceeded", count_over_slots(f), 0, "replicas")


def outage(report, seconds):
    """Restarts a daemon while the platform is down."""
    with fleet.Fleet(daemons=9) as f:
        normal = f.load(seconds=seconds, callers=9, rate=80, prefix="n")
        fleet.exchange(f.platform.port, "POST", "/fault", '{"mode": "down"}')
        replaced = seat_holders(f, "daemon-0")[2]
        remaining = ports_without(f, [replaced])
        load = f.start_load(ports=remaining, seconds=seconds + 10, callers=8, rate=80, prefix="o")
        time.sleep(1)
        f.daemons[replaced].kill()
        f.start_daemon(replaced)
        result = fleet.finish_load(load)
        report.at_least("outage_complete_against_normal",
                        complete_share(result) / complete_share(normal), 0.999, "ratio")
        report.at_most("outage_p99_against_normal", result["p99_ms"] / normal["p99_ms"], 1.5, "ratio")
        report.at_most("outage_slots_exceeded", count_over_slots(f), 0, "replicas")
        port = f.daemons[replaced].port
        ready = fleet.exchange(port, "GET", "/readyz")[0] == 200
        report.at_least("outage_replacement_ready", int(ready), 1, "daemons")
        fleet.exchange(f.platform.port, "POST", "/fault", '{"mode": "none"}')


def replaced_vms(report, seconds):
    """Replaces a VM that holds no seat by one with another name under load."""
    with fleet.Fleet(daemons=9) as f:
        holders = set(seat_holders(f, "daemon-0").values())
        leaving = any_daemon(f, holders)
        load = f.start_load(ports=ports_without(f, [leaving]), callers=8,
                            seconds=seconds + 14, rate=80)
        time.sleep(1)
        f.daemons[leaving].stop()
        del f.daemons[leaving]
        f.daemon_names = [n for n in f.daemon_names if n != leaving] + ["daemon-new"]
        f.peer_ports["daemon-new"] = fleet.free_ports(1)[0]
        f.put_vms(f.daemon_names)
        f.start_daemon("daemon-new")
        result = fleet.finish_load(load)
        report.at_least("replaced_vm_complete", complete_share(result), 0.999, "ratio")
        report.at_most("replaced_vm_slots_exceeded", count_over_slots(f), 0, "replicas")
        port = f.daemons["daemon-new"].port
        ready = fleet.exchange(port, "GET", "/readyz")[0] == 200
        report.at_least("replaced_vm_ready", int(ready), 1, "daemons")


def control_cost(report, seconds):
    """Measures CPU time, memory and peer traffic of idle daemons."""
    with fleet.Fleet(daemons=9) as f:
        pids = {n: d.child.pid for n, d in f.daemons.items()}
        cpu = {n: cpu_seconds(p) for n, p in pids.items()}
        sent = f.metrics().get("clementinerill_peer_bytes_sent_total")
        started = time.monotonic()
        time.sleep(seconds * 2)
        elapsed = time.monotonic() - started
        max_core_share = max(cpu_seconds(p) - cpu[n] for n, p in pids.items()) / elapsed
        memory = max(resident_mb(p) for p in pids.values())
        report.at_most("control_core_share", max_core_share, CONTROL_CORE_SHARE, "cores")
        report.at_most("control_memory", memory, CONTROL_MEMORY_MB, "MB")
        if sent is not None:
            total = f.metrics()["clementinerill_peer_bytes_sent_total"] - sent
            report.at_most("control_bytes_sent", total / elapsed / 9, CONTROL_BYTES_PER_S, "B/s")


def resident_mb(pid):
    with open(f"/proc/{pid}/statm", encoding="utf-8") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
