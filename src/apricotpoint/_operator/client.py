"""Client of the operator API."""

from __future__ import annotations

import shlex
import ssl
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import httpx

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.secrets import check_private

CONNECT_TIMEOUT_S = 2.0
# Longer than the slowest command other than a submission: a cancellation reads rows
# for up to 1 s and then waits up to 5 s for other processes.
ANSWER_TIMEOUT_S = 10.0


@attrs.frozen
class ClientSettings:
    """Settings of apricotctl: addresses (host:port) of operator APIs, token and TLS CA files.

    Without `tls_ca_file` the addresses are used over plain HTTP.
    """

    addresses: list[str] = attrs.Factory(list)
    token_file: Path | None = None
    tls_ca_file: Path | None = None


def read_token(path: Path) -> str:
    """Return the operator token in a file that only its owner may read.

    Raises `ApricotError` with code 5001.
    """
    check_private(path, "token file")
    try:
        return path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "it is not ASCII"
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"token file {path} cannot be read: {reason}",
            remedy="set token_file to a file with the operator token",
        ) from None


class OperatorClient:
    """Sends commands to the first address that answers; use it as a context manager.

    If an address does not answer, the command is sent to the next one with the same
    command id, so it is not executed twice if only the answer was lost.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        token: str,
        tls_ca_file: Path | None = None,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        self._addresses = addresses
        self._scheme = "http" if tls_ca_file is None else "https"
        self._client = httpx.Client(
            headers={"authorization": f"Bearer {token}"},
            verify=_tls_context(tls_ca_file),
            transport=transport,
            # Proxy settings in the environment of an operator are for other hosts.
            trust_env=False,
        )

    def __enter__(self) -> OperatorClient:
        self._client.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self._client.close()

    def run(self, text: str, command_id: str, *, run_time_s: float = 0.0) -> dict[str, Any]:
        """Return the result of a command.

        `run_time_s` is added to the time-out, for a job that the command waits for.

        Raises `ApricotError` with code 3101 if no address answers.
        """
        failures: list[str] = []
        for address in self._addresses:
            try:
                response = self._client.post(
                    f"{self._scheme}://{address}/v1/command",
                    json={"text": text, "command_id": command_id},
                    timeout=httpx.Timeout(ANSWER_TIMEOUT_S + run_time_s, connect=CONNECT_TIMEOUT_S),
                )
                result = response.json()
            except (httpx.HTTPError, httpx.InvalidURL) as error:
                failures.append(f"{address}: {str(error) or type(error).__name__}")
                continue
            except ValueError:
                failures.append(f"{address}: HTTP status {response.status_code} without a result")
                continue
            if isinstance(result, dict) and isinstance(result.get("code"), int):
                return result
            failures.append(f"{address}: HTTP status {response.status_code} without a code")
        raise ApricotError(
            ResultCode.COORDINATOR_UNREACHABLE,
            f"no entry process answered ({'; '.join(failures)})",
            remedy=f"send the same command again: apricotctl run {shlex.quote(text)}",
        )


def _tls_context(ca_file: Path | None) -> ssl.SSLContext | bool:
    if ca_file is None:
        return True
    try:
        return ssl.create_default_context(cafile=ca_file)
    except OSError as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"TLS CA file {ca_file} cannot be used: {error}",
            remedy="set tls_ca_file to a file with PEM certificates",
        ) from error
