"""Initial configuration of a new deployment."""

from __future__ import annotations

import anyio
import httpx

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._settings.deployment import DeploymentSettings

ACCEPT_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.1
# Deployment files have one team, which may use the capacity of the whole system.
QUOTA_TASKS = 10_000


def initial_commands(deployment: DeploymentSettings) -> list[str]:
    """Return the commands that create the service and the teams of a new deployment."""
    commands = [f"create service {deployment.service} max_queue_s = {deployment.max_queue_s}"]
    commands += [f"create team {team} quota_tasks = {QUOTA_TASKS}" for team in deployment.teams]
    return [f"{command} at {version}" for version, command in enumerate(commands)]


async def create_configuration(
    deployment: DeploymentSettings, *, operator_address: str, token: str
) -> None:
    """Create the service and the teams of a deployment through the operator API.

    Raises `ApricotError` with code 4102 if a command is not accepted within 20 s.
    """
    headers = {"authorization": f"Bearer {token}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False, timeout=5.0) as client:
        for version, command in enumerate(initial_commands(deployment)):
            await _run_until_accepted(client, operator_address, command, f"create-{version}")


async def _run_until_accepted(
    client: httpx.AsyncClient, address: str, text: str, command_id: str
) -> None:
    result: dict[str, object] = {}
    with anyio.move_on_after(ACCEPT_TIMEOUT_S):
        # Retries until the new cluster has elected a leader. The command id keeps a
        # command from being executed twice.
        while True:
            try:
                response = await client.post(
                    f"http://{address}/v1/command", json={"text": text, "command_id": command_id}
                )
                result = response.json()
            except httpx.TransportError as error:
                result = {"message": str(error)}
            if result.get("code") == ResultCode.ACCEPTED:
                return
            await anyio.sleep(RETRY_INTERVAL_S)
    raise ApricotError(
        ResultCode.NO_MAJORITY,
        f"{text!r} was not accepted within {ACCEPT_TIMEOUT_S:g} s: {result.get('message', '')}",
        remedy="start a majority of the control processes",
    )
