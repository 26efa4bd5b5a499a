"""Checks for scenarios: each prints a line, and the scenario fails at its end when one did not hold."""


class Checks:
    def __init__(self, scenario):
        self.scenario = scenario
        self.passed = 0
        self.failed = 0

    def true(self, what, holds, detail=""):
        if holds:
            self.passed += 1
        else:
            self.failed += 1
        print(f"{'ok' if holds else 'FAILED'}: {what}{f' ({detail})' if detail else ''}", flush=True)

    def equal(self, what, found, wanted):
        self.true(what, found == wanted, "" if found == wanted else f"found {found!r}, wanted {wanted!r}")

    def at_most(self, what, found, bound):
        self.true(what, found <= bound, f"found {found}, bound {bound}")

    def at_least(self, what, found, bound):
        self.true(what, found >= bound, f"found {found}, bound {bound}")

    def conclude(self):
        print(f"{self.scenario}: {self.passed} passed, {self.failed} failed", flush=True)
        return 1 if self.failed else 0
