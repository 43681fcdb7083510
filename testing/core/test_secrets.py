"""Validation of the secrets file; secrets never appear in messages."""

from __future__ import annotations

from pathlib import Path

import pytest

from apricotpoint._core.errors import ApricotError
from apricotpoint._core.secrets import Secrets, load_secrets

OLD, NEW, OTHER = "old-" + "x" * 16, "new-" + "x" * 16, "other-" + "x" * 16
SECRETS_TEXT = (
    f'{{teams: {{hem: ["{OLD}", "{NEW}"], crock: ["{OTHER}"]}}, internal: ["{NEW}"]}} // two'
)


def write_secrets(folder: Path, text: str, mode: int = 0o600) -> Path:
    file = folder / "secrets.jsonc"
    file.write_text(text)
    file.chmod(mode)
    return file


def test_two_values_are_valid_at_a_time_and_only_for_their_purpose(tmp_path: Path):
    """Guards against rejected tokens during a rotation, and tokens that work in another role."""
    secrets = load_secrets(write_secrets(tmp_path, SECRETS_TEXT))
    assert [secrets.team_of(token) for token in (OLD, NEW, OTHER)] == ["hem", "hem", "crock"]
    assert secrets.team_of("") is secrets.team_of(OLD[:-1]) is secrets.team_of("ä") is None
    assert secrets.operator_of(OLD) is None
    assert (secrets.is_internal(NEW), secrets.is_internal(OLD)) == (True, False)
    assert secrets.internal_keys() == [NEW.encode()]


@pytest.mark.parametrize("mode", [0o640, 0o604, 0o620, 0o601])
def test_file_that_others_can_access_is_refused(tmp_path: Path, mode: int):
    """Guards against a secrets file that other users of the VM can read or replace."""
    with pytest.raises(ApricotError, match="5001.*chmod 600"):
        load_secrets(write_secrets(tmp_path, SECRETS_TEXT, mode))


@pytest.mark.parametrize(
    "text",
    [
        f'{{teams: {{hem: "{OLD}"}}}}',
        f'{{teams: {{hem: ["{OLD}", "{OLD}1", "{OLD}2"]}}}}',
        f'{{teams: {{hem: ["{OLD}"], crock: ["{OLD}"]}}}}',
        f'{{teams: {{hem: ["{OLD}", 1]}}}}',
        f'{{tokens: ["{OLD}"]}}',
        '{internal: ["old-x"]}',
        f'{{teams: {{hem: ["{OLD}"',
    ],
)
def test_invalid_file_is_refused_without_showing_a_secret(tmp_path: Path, text: str):
    """Guards against parser messages that quote a secret from the file."""
    with pytest.raises(ApricotError, match="5001") as caught:
        load_secrets(write_secrets(tmp_path, text))
    assert "old-x" not in str(caught.value)


def test_repr_shows_no_secret():
    """Guards against secrets in logs and tracebacks that show the object."""
    secrets = Secrets(teams={"hem": [OLD]}, operators={"ana": [NEW]}, internal=[OTHER])
    assert not any(value in f"{secrets!r}{secrets}" for value in (OLD, NEW, OTHER))
