"""Configuration of log output."""

from __future__ import annotations

import enum
import sys
from typing import Any, TextIO

import attrs
import logbook
import msgspec

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

_TEXT_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}: "
_TEXT_FORMAT += "{record.message}"


class LogFormat(enum.Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


@attrs.frozen
class LogSettings:
    """Lowest log level to write (case-insensitive) and the format of the lines."""

    level: str = "info"
    format: LogFormat = LogFormat.TEXT


def make_handler(settings: LogSettings, stream: TextIO | None = None) -> logbook.StreamHandler:
    """Return a handler that writes log lines to `stream`, by default to stderr.

    Use its `applicationbound()` as a context manager around the main function
    of a program. Raises `ApricotError` with code 5001 for an unknown level.
    """
    try:
        level = logbook.lookup_level(settings.level.upper())
    except LookupError as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"log level {settings.level!r} is unknown",
            remedy="use one of: debug, info, notice, warning, error, critical",
        ) from error
    handler = logbook.StreamHandler(stream or sys.stderr, level=level, bubble=False)
    if settings.format is LogFormat.JSON:
        handler.formatter = _format_json
    else:
        handler.format_string = _TEXT_FORMAT
    return handler


def _format_json(record: logbook.LogRecord, _: logbook.Handler) -> str:
    fields: dict[str, Any] = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
    }
    if record.formatted_exception:
        fields["exception"] = record.formatted_exception
    return msgspec.json.encode(fields).decode()
