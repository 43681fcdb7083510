"""The operations page lists every counter and every settings key."""

from __future__ import annotations

import re

import attrs
import pytest
from test_settings import ROOT

from apricotpoint._backend.settings import BackendSettings
from apricotpoint._load.settings import LoadSettings
from apricotpoint._settings.control import ControlSettings
from apricotpoint._settings.entry import EntrySettings
from apricotpoint._soak.settings import SoakSettings

PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
COUNTER_CALL = re.compile(r"\.(?:add|record|set_gauge)\(\s*f?\"([a-z_.{}()]+)\"")


def documented_counters() -> set[str]:
    """Return all counter names in the table of the page.

    A name that begins with a dot continues the prefix of the previous name in its cell.
    """
    names: set[str] = set()
    for cell in re.findall(r"^\| ([^|]+) \|", PAGE, re.MULTILINE):
        prefix = ""
        for name in re.findall(r"`([a-z_.<>]+)`", cell):
            if not name.startswith("."):
                prefix = name.rpartition(".")[0]
            names.add(prefix + name if name.startswith(".") else name)
    return names


def test_every_counter_is_documented():
    """Guards against a new counter that operators cannot look up."""
    used = set()
    for path in (ROOT / "src" / "apricotpoint").rglob("*.py"):
        if "_bench" not in path.parts:
            used |= {
                re.sub(r"\{.*\}", "<>", name) for name in COUNTER_CALL.findall(path.read_text())
            }
    documented = {re.sub(r"<.*>", "<>", name) for name in documented_counters()}
    assert len(used) > 100
    assert sorted(used - documented) == []


@pytest.mark.parametrize(
    "settings_type",
    [EntrySettings, ControlSettings, BackendSettings, LoadSettings, SoakSettings],
)
def test_every_setting_is_documented(settings_type: type):
    """Guards against a new settings key that operators cannot look up."""
    undocumented = [key for key in attrs.fields_dict(settings_type) if f"`{key}`" not in PAGE]
    assert undocumented == []
