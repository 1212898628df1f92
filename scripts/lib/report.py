"""Prints benchmark figures as JSON lines and remembers broken bounds."""

import json


class Report:
    def __init__(self):
        self.broken = []

    def figure(self, name, value, bound, unit, ok):
        line = {"name": name, "value": round(value, 5), "bound": bound,
                "unit": unit, "ok": bool(ok)}
        print(json.dumps(line), flush=True)
        if not ok:
            self.broken.append(name)

    def at_most(self, name, value, bound, unit):
        self.figure(name, value, bound, unit, value <= bound)

    def at_least(self, name, value, bound, unit):
        self.figure(name, value, bound, unit, value >= bound)

    def measured(self, name, value, unit):
        """A figure without a bound."""
        self.figure(name, value, None, unit, True)
