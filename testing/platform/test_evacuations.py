"""The calls of operators that begin and finish the evacuation of a failure domain."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import httpx
import yaml

from apricotpoint._control.messages import Entry
from apricotpoint._control.state import ReplicatedState
from apricotpoint._core.counters import Counters
from apricotpoint._soak.settings import SoakSettings
from apricotpoint._soak.words import Member, Ports
from apricotpoint._wire.configuration import Change, ChangeReply
from apricotpoint.platform.controlapi import make_control_app
from apricotpoint.platform.evacuations import make_evacuation_routes
from apricotpoint.platform.settings import load_settings
from apricotpoint.platform.soakwords import make_words

DOMAINS = ["a", "b", "c"]


class Controller:
    """The app of a control process in front of a replicated state without a log."""

    def __init__(self, *, has_places: bool = True, configured: bool = True) -> None:
        self.state = ReplicatedState({})
        self.waited_s = 0.0
        self.reply: ChangeReply | None = None
        self.counters = Counters()
        routes = make_evacuation_routes(
            domains=lambda: DOMAINS,
            configuration=lambda: self.state.configuration,
            change=self._change,
            unread_s=lambda _: self.waited_s,
            clock=lambda: 0.0,
            wall_time=lambda: 1_800_000_000.0,
            counters=self.counters,
        )
        self._app = make_control_app(
            relay=None,  # type: ignore[arg-type]
            change=self._change,
            document=anyio.sleep_forever,  # type: ignore[arg-type,return-value]
            counters=self.counters,
            wall_time=lambda: 1_800_000_000.0,
            evacuation_routes=routes if has_places else [],
        )
        if configured:
            self.state.apply(Entry(1, Change("first", 0, "set_team", "hem")))

    async def _change(self, change: Change) -> ChangeReply:
        return self.reply or self.state.apply(Entry(1, change))  # type: ignore[return-value]

    def call(self, path: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
        """Return status and body of the answer to one call."""

        async def post() -> httpx.Response:
            transport = httpx.ASGITransport(self._app)
            async with httpx.AsyncClient(transport=transport, base_url="http://c") as client:
                return await client.post(path, content=body)

        response = anyio.run(post)
        return response.status_code, response.json()


def test_orders_are_acknowledged_each_time():
    """Guards against a resent order that is refused, which would end the operator's call."""
    controller = Controller()
    first = controller.call("/evacuation/b/begin")
    assert (first[0], first[1]["order"], first[1]["evacuated"]) == (200, 1, True)
    assert controller.call("/evacuation/b/begin") == (200, {**first[1], "order": 2})
    finished = controller.call("/evacuation/b/finish")
    assert (finished[0], finished[1]["order"]) == (200, 3)
    assert controller.call("/evacuation/a/finish")[0] == 200
    assert controller.state.configuration.evacuated_domains() == []
    assert controller.counters.get("control.evacuation_orders_4000") == 4


def test_only_what_can_never_be_accepted_ends_the_call():
    """Guards against a status with which the operator gives up an order that may pass later."""
    controller = Controller()
    assert controller.call("/evacuation/x/begin")[0] == 404
    assert controller.call("/evacuation/b/begin", b"{}")[0] == 400
    assert controller.call("/evacuation/b/begin", b"x" * 5000)[0] == 400
    for code in (4101, 4102, 4103):
        controller.reply = ChangeReply(code, 1, "refused")
        assert controller.call("/evacuation/b/begin")[0] == 503
    controller.reply = None
    assert controller.state.configuration.evacuation_by_domain == {}
    for domain, status in (("a", 200), ("b", 200), ("c", 409), ("b", 200)):
        assert controller.call(f"/evacuation/{domain}/begin")[0] == status
    assert Controller(configured=False).call("/evacuation/b/begin")[0] == 503


def test_an_order_that_waited_for_a_frozen_process_is_not_carried_out():
    """Guards against an order that undoes a newer one which another process has taken since."""
    controller = Controller()
    controller.call("/evacuation/b/begin")
    controller.waited_s = 1.2
    assert controller.call("/evacuation/b/finish")[0] == 503
    assert controller.state.configuration.evacuated_domains() == ["b"]
    controller.waited_s = 0.9
    assert controller.call("/evacuation/b/finish")[0] == 200


def test_without_the_contract_the_calls_are_not_supported():
    """Guards against a change of what deployments without the contract are answered."""
    controller = Controller(has_places=False)
    for word in ("begin", "finish"):
        assert controller.call(f"/evacuation/b/{word}")[0] == 501
    assert Controller().call("/evacuation/b/stop")[0] == 501
    assert controller.state.configuration.evacuation_by_domain == {}


def test_the_contract_is_read_from_the_settings(tmp_path: Path):
    """Guards against calls that exist where nobody asked for them, and settings without a list."""
    words = make_words(SoakSettings(report_folder="unused"))
    member = Member("control-1", True, "puebla", "127.0.0.1", 7, str(tmp_path))
    raw = words.settings(member, Ports(1, 2, 3, 4), ["127.0.0.1"], True)
    path = tmp_path / "settings.yaml"
    for contracts, expected in ((["base", "places"], True), (["base"], False), (5, False)):
        path.write_text(yaml.safe_dump(raw | {"contracts": contracts}))
        assert load_settings(path).has_places is expected
    del raw["contracts"]
    path.write_text(yaml.safe_dump(raw))
    assert not load_settings(path).has_places
    assert load_settings(path).evacuation_timeout_s == 5.0
