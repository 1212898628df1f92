"""Checks the exit code and the output of `clementinerill check`."""

import os
import subprocess
import sys
import tempfile

import fleet

VALID = """name: entry-1
failure_domain: fd-1
caller_listen: 10.0.0.11:8080
admin_listen: 127.0.0.1:8081
peer_listen: 10.0.0.11:8082
platform: 10.0.0.2:7000
admin_token: 0123456789abcdef
"""


def check(path):
    return subprocess.run([f"{fleet.BUILD}/src/clementinerill", "check", path],
                          capture_output=True, text=True, timeout=20)


def main():
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "s.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(VALID)
        # Guards against rejecting a valid file.
        result = check(path)
        assert result.returncode == 0, result
        with open(path, "w", encoding="utf-8") as file:
            file.write(VALID + "balancer_delay: 3\nlog_level: loud\n")
        # Guards against stopping at the first error and against exit code 0
        # despite errors.
        result = check(path)
        assert result.returncode == 1, result
        lines = result.stderr.splitlines()
        assert len(lines) == 2, lines
        assert lines[0].startswith(f"{path}:8:17: 'balancer_delay' must be"), lines
        assert lines[1].startswith(f"{path}:9:12: 'log_level' must be"), lines
        # Guards against treating a missing file as an empty one.
        result = check(os.path.join(folder, "missing.yaml"))
        assert result.returncode == 1, result
        assert "must be a readable file" in result.stderr, result
    return 0


if __name__ == "__main__":
    sys.exit(main())
