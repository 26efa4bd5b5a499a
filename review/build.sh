#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs of the standard library, so nothing is compiled for
# use; the check below finds a syntax error or a Python that is too old before a case runs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
for folder in ("review", "tests/standins", "tools"):
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        compile(path.read_text(), str(path), "exec")
PYTHON
test -x target/platform/kumquatbeam-entry
