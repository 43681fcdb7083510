"""Puts each deliberate defect into a copy of the source and runs the tests that must fail."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
from pathlib import Path

from defects import DEFECTS, Defect

ROOT = Path(__file__).resolve().parents[2]
COPY = ROOT / "build" / "defects" / "src"
_FAILED = re.compile(r"^FAILED (.+?)(?: - .*)?$", re.MULTILINE)


def insert(defect: Defect) -> str:
    """Insert a defect into a fresh copy of the source.

    Returns an error message, or an empty string on success.
    """
    shutil.rmtree(COPY, ignore_errors=True)
    shutil.copytree(ROOT / "src", COPY, ignore=shutil.ignore_patterns("__pycache__"))
    found = [path for path in COPY.rglob("*.py") if defect.before in path.read_text()]
    if len(found) != 1 or found[0].read_text().count(defect.before) != 1:
        return f"the text to replace is in {len(found)} modules, must occur once; update defects.py"
    found[0].write_text(found[0].read_text().replace(defect.before, defect.after))
    return ""


def run_tests(tests: tuple[str, ...]) -> subprocess.CompletedProcess[str]:
    """Run tests against the copy with the defect, until the first failure."""
    paths = f"pythonpath={COPY} testing/control"
    command = [sys.executable, "-B", "-m", "pytest", "-x", "-p", "no:cacheprovider", "-o", paths]
    return subprocess.run([*command, *tests], cwd=ROOT, capture_output=True, text=True, check=False)


def check(defect: Defect) -> str:
    """Insert a defect and run its tests; return the outcome, "MISSED: ..." on error."""
    error = insert(defect)
    if error:
        return f"MISSED: {error}"
    result = run_tests(defect.tests)
    failed = _FAILED.search(result.stdout)
    if result.returncode == 1 and failed:
        return f"caught by {failed.group(1)}"
    output = (result.stdout + result.stderr)[-300:].strip()
    return f"MISSED: pytest exited with {result.returncode}: {output}"


def main() -> int:
    """Check that the tests pass without a defect and fail with each; return the exit status."""
    tests = tuple(dict.fromkeys(test for defect in DEFECTS for test in defect.tests))
    insert(Defect("none", DEFECTS[0].before, DEFECTS[0].before, ()))
    result = run_tests(tests)
    if result.returncode != 0:
        print(f"the tests fail without any defect:\n{result.stdout[-2000:]}{result.stderr[-500:]}")
        return 1
    missed = 0
    for defect in DEFECTS:
        outcome = check(defect)
        missed += outcome.startswith("MISSED")
        print(f"{defect.name}: {outcome}", flush=True)
    print(f"{len(DEFECTS) - missed} of {len(DEFECTS)} defects caught")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
