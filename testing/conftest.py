"""Command line options of the test suite."""

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the options of the fuzz tests: a short repeatable run for CI, or a long one."""
    parser.addoption(
        "--fuzz-profile",
        choices=["ci", "long"],
        default="ci",
        help="ci: few examples, the same in every run; long: many random ones",
    )
    parser.addoption("--fuzz-examples", type=int, default=600, help="examples of the long profile")
    parser.addoption("--fuzz-seed", type=int, default=None, help="seed of the long profile")
