"""Checks the operator-facing output of a daemon.

Covers log lines, status, metrics and explain records.
"""

import json
import os
import subprocess
import sys

import fleet


def read_log(f, name):
    with open(f.log_path(name), encoding="utf-8") as file:
        return file.read()


def test_log(f):
    # Guards against events that are not logged.
    f.query("daemon-0", "no-such-route", "x", {"X-Request-Id": "unknown-1"})
    upstream = f.upstreams["claims-0-0"]
    upstream.kill()
    f.start_upstream(0, 0, port=upstream.port)

    def is_logged():
        # An idle daemon detects the restart on its next request to the upstream.
        f.query("daemon-0", "claims-search", "after-restart")
        return ("upstream: process changed upstream=claims-0-0"
                in read_log(f, "daemon-0"))
    fleet.wait_until(is_logged, 10, "the restart of the upstream is logged")
    # Guards against unlimited log output when every query is refused.
    for i in range(30):
        f.query("daemon-0", "no-such-route", "x", {"X-Request-Id": f"flood-{i}"})
    # Matches the request ID, as refusals before the first usable seat are logged too.
    refused = read_log(f, "daemon-0").count("query: refused request_id=flood-")
    assert 1 <= refused < 30, refused
    assert f.daemons["daemon-0"].stop() == 0
    text = read_log(f, "daemon-0")
    for line in ("info serve: started name=daemon-0",
                 "info configuration: in force version=1",
                 "warning query: refused request_id=unknown-1 "
                 "route=no-such-route reason=unknown_route",
                 "info serve: shutting down", "info serve: stopped"):
        assert line in text, (line, text)
    # Guards against logging the admin token.
    assert fleet.ADMIN_TOKEN not in text


def explain(f, request_id):
    """Runs the explain subcommand; returns its exit code and the records."""
    result = subprocess.run(
        [f"{fleet.BUILD}/src/clementinerill", "explain", request_id, "--admin",
         f"127.0.0.1:{f.daemons['daemon-0'].admin_port}"],
        capture_output=True, text=True, timeout=20)
    return result.returncode, json.loads(result.stdout or "[]")


def test_explain(f):
    f.query("daemon-0", "claims-search", "x", {"X-Request-Id": "plain-1"})
    code, records = explain(f, "plain-1")
    # Guards against records that lack the attempts of a part.
    assert code == 0 and len(records) == 1, records
    record = records[0]
    assert (record["route"], record["outcome"], record["reason"]) == (
        "claims-search", "complete", ""), record
    assert sorted(p["service"] for p in record["parts"]) == [
        "claims-0", "claims-1"], record
    for part in record["parts"]:
        first = part["attempts"][0]
        assert first["trigger"] == "primary", part
        assert first["replica"].startswith(part["service"]), part
        assert 0 <= first["start_us"] <= record["duration_us"], part
        assert part["attempts"][-1]["result"] == "answered", part
    # Guards against missing records of queries that were refused before execution.
    f.query("daemon-0", "no-such-route", "x", {"X-Request-Id": "refused-1"})
    code, records = explain(f, "refused-1")
    assert code == 0 and records[0]["reason"] == "unknown_route", records
    port = f.daemons["daemon-0"].admin_port
    status, _, text = fleet.exchange(port, "GET", "/explain?slow")
    assert status == 200, text
    notable = [r["request_id"] for r in json.loads(text)]
    assert "refused-1" in notable and "plain-1" not in notable, notable
    # Guards against exit code 0 for a request ID without a record.
    assert explain(f, "never-sent")[0] == 1
    # Guards against unencoded request IDs in the path: `/explain?slow` returns records.
    assert explain(f, "?slow")[0] == 1


def test_explain_retry(f):
    # Guards against records that lack failed attempts. Must run before the tests
    # that kill an upstream, so that each service has two.
    f.upstreams["claims-1-0"].kill()
    for i in range(20):
        f.query("daemon-0", "claims-search", "x", {"X-Request-Id": f"retry-{i}"})
        part = [p for p in explain(f, f"retry-{i}")[1][0]["parts"]
                if p["service"] == "claims-1"][0]
        triggers = [a["trigger"] for a in part["attempts"]]
        if "retry" in triggers:
            failed, retried = part["attempts"][:2]
            assert retried["reason"] == failed["result"] != "answered", part
            assert retried["replica"] != failed["replica"], part
            return
    raise AssertionError("no query was retried")


def test_status(f):
    port = f.daemons["daemon-0"].admin_port
    status, _, text = fleet.exchange(port, "GET", "/status")
    assert status == 200, text
    # Guards against exposing the admin token in the response.
    assert fleet.ADMIN_TOKEN not in text
    report = json.loads(text)
    assert (report["name"], report["failure_domain"], report["ready"],
            report["configuration_version"]) == ("daemon-0", "fd-0", True, 1), report
    pool = report["pools"][0]
    assert (pool["name"], pool["seats_held"]) == ("claims", [0]), pool
    # Guards against missing upstreams and upstreams without load signals.
    assert len(pool["upstreams"]) == 4, pool
    for upstream in pool["upstreams"]:
        assert upstream["slots"] == 3 and upstream["in_use"] == 0, upstream
        assert upstream["skipped_for_us"] == 0, upstream
        assert upstream["offers"] == [
            {"index_version": 1, "partition_map": 1}], upstream
    # Guards against accepting changes without the token or with a wrong one.
    for token, expected in ((None, 401), ("fleet-admin-token-1", 401),
                            (fleet.ADMIN_TOKEN, 404)):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        status, _, text = fleet.exchange(port, "POST", "/change", "{}", headers)
        assert status == expected, (token, status, text)


def test_documented_metrics(f):
    # Guards against metrics that docs/operators.md does not list.
    with open(os.path.join(fleet.ROOT, "docs", "operators.md"), encoding="utf-8") as file:
        page = file.read()
    text = fleet.exchange(f.daemons["daemon-0"].admin_port, "GET", "/metrics")[2]
    names = [line.split()[2] for line in text.splitlines() if line.startswith("# TYPE")]
    assert names, text
    for name in names:
        assert f"`{name}`" in page, name


def main():
    with fleet.Fleet(services=2, replicas=2, daemons=1, seats=1) as f:
        test_status(f)
        test_documented_metrics(f)
        test_explain(f)
        test_explain_retry(f)
        test_log(f)
    return 0


if __name__ == "__main__":
    sys.exit(main())
