"""Prints benchmark figures as JSON lines and collects the names of violated bounds."""

import json


class Report:
    def __init__(self):
        self.violations = []

    def figure(self, name, value, bound, unit, ok):
        line = {"name": name, "value": round(value, 5), "bound": bound,
                "unit": unit, "ok": bool(ok)}
        print(json.dumps(line), flush=True)
        if not ok:
            self.violations.append(name)

    def at_most(self, name, value, bound, unit):
        self.figure(name, value, bound, unit, value <= bound)

    def at_least(self, name, value, bound, unit):
        self.figure(name, value, bound, unit, value >= bound)

    def measured(self, name, value, unit):
        """Reports a figure that has no bound."""
        self.figure(name, value, None, unit, True)
