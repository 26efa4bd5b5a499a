"""Checks for scenarios. Each check prints one line; a scenario fails at its end if any of its checks failed."""


class Checks:
    def __init__(self, scenario):
        self.scenario = scenario
        self.passed = 0
        self.failed = 0

    def true(self, description, condition, detail=""):
        if condition:
            self.passed += 1
        else:
            self.failed += 1
        print(f"{'ok' if condition else 'FAILED'}: {description}{f' ({detail})' if detail else ''}", flush=True)

    def equal(self, description, actual, expected):
        self.true(description, actual == expected, "" if actual == expected else f"found {actual!r}, expected {expected!r}")

    def at_most(self, description, actual, bound):
        self.true(description, actual <= bound, f"found {actual}, bound {bound}")

    def at_least(self, description, actual, bound):
        self.true(description, actual >= bound, f"found {actual}, bound {bound}")

    def conclude(self):
        print(f"{self.scenario}: {self.passed} passed, {self.failed} failed", flush=True)
        return 1 if self.failed else 0
