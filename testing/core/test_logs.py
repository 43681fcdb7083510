"""Log lines follow the configured level and format."""

from __future__ import annotations

import io
import json

import logbook
import pytest

from apricotpoint._core.errors import ApricotError
from apricotpoint._core.logs import LogFormat, LogSettings, make_handler

_log = logbook.Logger("holder")


def logged_lines(settings: LogSettings) -> list[str]:
    """Log an info line, a warning and an exception, and return the lines written."""
    stream = io.StringIO()
    with make_handler(settings, stream).applicationbound():
        _log.info("lease taken")
        _log.warning("quarantined {}", "w-1")
        try:
            raise ValueError("bad\nline")
        except ValueError:
            _log.exception("failed")
    return stream.getvalue().splitlines()


def test_lines_below_the_level_are_not_written(capfd: pytest.CaptureFixture[str]):
    """Guards against lines that pass on to the default handler, which writes to stderr."""
    written = logged_lines(LogSettings(level="warning"))
    assert written[0].endswith("Z WARNING holder: quarantined w-1")
    assert not any("lease taken" in line for line in written)
    assert capfd.readouterr().err == ""


def test_json_record_is_a_single_line_even_with_an_exception():
    """Guards against tracebacks that split a JSON record over several lines."""
    written = [json.loads(line) for line in logged_lines(LogSettings(format=LogFormat.JSON))]
    assert [line["level"] for line in written] == ["info", "warning", "error"]
    assert written[1]["message"] == "quarantined w-1"
    assert "ValueError: bad\nline" in written[2]["exception"]


def test_unknown_level_is_refused():
    """Guards against a misspelled level that fails with a bare LookupError."""
    with pytest.raises(ApricotError, match="'loud' is unknown"):
        make_handler(LogSettings(level="loud"))
