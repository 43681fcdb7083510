"""First configuration of a deployment."""

from __future__ import annotations

import anyio
import httpx

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._settings.deployment import DeploymentSettings

READY_TIMEOUT_S = 20.0
RETRY_S = 0.1
# The described deployments have one team, which may use all of the system.
QUOTA_TASKS = 10_000


def first_changes(deployment: DeploymentSettings) -> list[str]:
    """Return the commands that create the service and the teams of a new deployment."""
    changes = [f"create service {deployment.service} max_queue_s = {deployment.max_queue_s}"]
    changes += [f"create team {team} quota_tasks = {QUOTA_TASKS}" for team in deployment.teams]
    return [f"{change} at {version}" for version, change in enumerate(changes)]


async def create_configuration(
    deployment: DeploymentSettings, *, operator_address: str, token: str
) -> None:
    """Create the service and the teams of a deployment through the operator API.

    Raises `ApricotError` with code 4102 if the changes are not accepted in 20 s.
    """
    headers = {"authorization": f"Bearer {token}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False, timeout=5.0) as client:
        for version, command in enumerate(first_changes(deployment)):
            await _run(client, operator_address, command, f"create-{version}")


async def _run(client: httpx.AsyncClient, address: str, text: str, command_id: str) -> None:
    result: dict[str, object] = {}
    with anyio.move_on_after(READY_TIMEOUT_S):
        # A new cluster has no leader yet; the command id makes the repetition safe.
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
            await anyio.sleep(RETRY_S)
    raise ApricotError(
        ResultCode.NO_MAJORITY,
        f"{text!r} was not accepted within {READY_TIMEOUT_S:g} s: {result.get('message', '')}",
        remedy="start a majority of the control processes",
    )
