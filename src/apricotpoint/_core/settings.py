"""Loading and validation of settings files in JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import cattrs
import cattrs.v
import json5

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

SettingsT = TypeVar("SettingsT")


def load(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    """Read a settings file and convert it to an attrs class.

    Raises `ApricotError` with code 5001 that names the file, the key and the
    remedy if the file cannot be read, has an unknown key or an invalid value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"settings file {path} is not UTF-8 text: {error}",
            remedy="save the file as UTF-8",
        ) from error
    except OSError as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"settings file {path} cannot be read: {error.strerror}",
            remedy="pass the path of a readable settings file",
        ) from error
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"settings file {path} is not JSON with comments: {error}",
            remedy="correct the syntax at the reported position",
        ) from error
    return structure(raw, settings_type, source=str(path))


def structure(raw: object, settings_type: type[SettingsT], *, source: str) -> SettingsT:
    """Convert plain data, such as parsed JSON, to an attrs class.

    Raises `ApricotError` with code 5001 for unknown keys and invalid values;
    `source` names the origin of the data in the message.
    """
    try:
        return _CONVERTER.structure(raw, settings_type)
    except Exception as error:
        details = "; ".join(
            cattrs.transform_error(error, path="settings", format_exception=_format_error)
        )
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"{source}: {details}",
            remedy="remove unknown keys and correct the named values",
        ) from error


def _format_error(error: BaseException, kind: type | None) -> str:
    # Validators name the key in the text of a ValueError, which cattrs would
    # replace by "invalid value".
    if type(error) is ValueError:
        return str(error)
    return cattrs.v.format_exception(error, kind)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(int, _exact_type_hook(int, "an integer"))
    converter.register_structure_hook(bool, _exact_type_hook(bool, "true or false"))
    converter.register_structure_hook(str, _exact_type_hook(str, "a string"))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(
        Path, lambda value, _: Path(_exact_type_hook(str, "a path")(value, str))
    )
    return converter


def _exact_type_hook(kind: type, name: str):  # type: ignore[no-untyped-def]  # noqa: ANN202
    def check(value: object, _: object) -> object:
        # bool is a subclass of int, so an exact type check is needed.
        if type(value) is not kind:
            raise ValueError(f"expected {name}, got {value!r}")
        return value

    return check


def _structure_float(value: object, _: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    return float(value)


_CONVERTER = _make_converter()
