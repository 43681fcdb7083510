"""Bad input at the outer interfaces is refused with a clear error and changes no state.

With `derandomize`, hypothesis derives the seed of a test from its source text without comments
and decorators: a changed name or doc string in it plays other examples. The heads of these
tests are therefore comments.
"""

from __future__ import annotations

import json
import random
import tempfile
from pathlib import Path
from typing import Any

import anyio
import attrs
import httpx
import msgspec
import pytest
from control_network import Disk, run
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._control.identity import initialise, record_start
from apricotpoint._control.log import Log
from apricotpoint._control.messages import Entry, StartCheck
from apricotpoint._control.registry import KeyRegistry
from apricotpoint._control.starts import NewestStarts
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import parse_key
from apricotpoint._core.secrets import Secrets
from apricotpoint._core.settings import load
from apricotpoint._core.timers import TimerService
from apricotpoint._http import announcements, callers
from apricotpoint._link.mesh import Mesh
from apricotpoint._settings.entry import EntrySettings
from apricotpoint._wire import codec
from apricotpoint._wire.announce import Announcement, AnnouncementReply
from apricotpoint._wire.configuration import Change, Configuration
from apricotpoint._wire.jobs import Answer, Claim, JobRequest

KEY = b"a key of the internal links"
SECRETS = Secrets(teams={"hem": ["token-of-the-team"]}, operators={}, internal=[KEY.decode()])
REPEATABLE = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, -1, 1 << 31, 1 << 63, -(1 << 63), 1e300, -0.5, 0.5]),
    st.text(max_size=8),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)
DEEP = b'{"a":' * 50_000
RAW = st.binary(max_size=60)


def bodies(valid: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Return a strategy for request bodies: arbitrary bytes or a valid document with some changes.

    One to three fields have arbitrary values, and at most one other field is left out.
    """
    changes = st.dictionaries(st.sampled_from([*valid, "x"]), VALUES, min_size=1, max_size=3)
    omitted_sets = st.sets(st.sampled_from(list(valid)), max_size=1)

    def encode(changed: dict[str, Any], omitted: set[str]) -> bytes:
        document = {name: valid[name] for name in valid if name not in omitted} | changed
        return json.dumps(document).encode("utf-8", "surrogatepass")

    return RAW | st.builds(encode, changes, omitted_sets)


def post(app: Any, path: str, token: str, body: bytes) -> httpx.Response:
    async def call() -> httpx.Response:
        transport = httpx.ASGITransport(app)
        async with httpx.AsyncClient(transport=transport, base_url="http://e1") as client:
            headers = {"authorization": f"Bearer {token}"}
            return await client.post(path, content=body, headers=headers)

    return anyio.run(call)


JOB = {
    "key": "order-1",
    "service": "hem",
    "deadline_ms": 1000,
    "valid_until": 1_900_000_000,
    "tasks": [{"kind": "price", "payload": {"a": 1}, "declared_s": 0.1, "cores": 1}],
}


# Guards against an internal error, or a job with impossible values handed to the coordinator,
# when a caller sends a malformed body.
@REPEATABLE
@example(DEEP)
@given(bodies(JOB) | st.builds(lambda task: json.dumps(JOB | {"tasks": [task]}).encode(), VALUES))
def test_caller_api_lets_in_only_well_formed_jobs(body: bytes):
    jobs: list[JobRequest] = []

    class FakeCoordinator:
        async def submit(self, request: JobRequest) -> Answer:
            jobs.append(request)
            return Answer(key=request.key, code=1000)

    app = callers.make_app(FakeCoordinator(), secrets=SECRETS, counters=Counters())
    response = post(app, "/v1/jobs", "token-of-the-team", body)
    answer = response.json()
    assert answer["code"] in {1000, 2101, 2111}, "bad input must not become an internal error"
    assert answer["message"] or answer["code"] == 1000
    assert len(jobs) == (answer["code"] == 1000)
    for job in jobs:
        parse_key(job.key)
        assert job.tasks
        assert job.deadline_ms >= 1
        assert all(isinstance(task.kind, str) and task.cores >= 0 for task in job.tasks)


ANNOUNCEMENT = {
    "backend_id": "b1", "incarnation": 1, "sequence": 1, "clock_s": 1.5, "service": "hem",
    "failure_domain": "toluca", "rack": "r1", "address": "127.0.0.1:9", "slots": 8,
    "connections": 64, "cores": 32, "memory_mb": 1024, "accelerators": 0, "running": 0,
    "throttle": 1.0, "guard": "running", "holder": {"entry_id": "e1", "incarnation": 1},
}  # fmt: skip


# Guards against an announcement with impossible sizes that reaches the lease holder. A huge
# number of slots, for example, would exhaust the memory of the entry process.
@REPEATABLE
@example(DEEP)
@example(json.dumps(ANNOUNCEMENT | {"slots": 1 << 31}).encode())
@example(json.dumps(ANNOUNCEMENT | {"slots": -1}).encode())
@example(json.dumps(ANNOUNCEMENT | {"backend_id": ""}).encode())
@given(bodies(ANNOUNCEMENT))
def test_announcements_let_in_only_possible_sizes(body: bytes):
    seen: list[Announcement] = []

    class FakeHolder:
        def handle_announcement(self, announcement: Announcement) -> AnnouncementReply:
            seen.append(announcement)
            return AnnouncementReply(None, 0.5)

    app = announcements.make_app(FakeHolder(), secrets=SECRETS, counters=Counters())
    response = post(app, "/v1/announcements", KEY.decode(), body)
    assert response.status_code in ({200} if seen else {400, 413})
    assert seen or response.json()["message"]
    for said in seen:
        assert said.backend_id
        # Each binding pass builds a list with an item for each slot.
        assert 0 <= said.slots <= 100_000
        assert min(said.connections, said.cores, said.memory_mb, said.accelerators) >= 0
        assert said.running >= 0


ENTRY_SETTINGS = {
    "entry_id": "p1", "failure_domain": "puebla", "failure_domains": ["puebla"],
    "caller_bind": "127.0.0.1:1", "operator_bind": "127.0.0.1:2", "announce_bind": "127.0.0.1:3",
    "peer_bind": "127.0.0.1:4", "peer_by_id": {}, "control_by_id": {"c1": "127.0.0.1:5"},
    "control_by_domain": {"puebla": "c1"}, "secrets_file": "s", "weight": 1.0,
}  # fmt: skip


# Guards against settings with invalid values that are loaded, and a refusal that does not name
# the file and the remedy.
@REPEATABLE
@given(bodies(ENTRY_SETTINGS))
@example(b"[" * 1_000)
@example(b"\xff")
def test_settings_are_valid_or_refused_with_5001(tmp_path: Path, content: bytes):
    path = tmp_path / "entry.jsonc"
    path.write_bytes(content)
    refusal: ApricotError | None = None
    try:
        entry = load(path, EntrySettings)
    except ApricotError as error:
        refusal = error
    if refusal is not None:
        assert refusal.code is ResultCode.INVALID_SETTINGS
        assert str(path) in refusal.message
        assert refusal.remedy
        return
    assert entry.failure_domain in entry.failure_domains
    assert 0.1 <= entry.weight <= 100


MESSAGES = (Claim, JobRequest, Change, Configuration, Announcement, Answer)
FRAME = [1, "Claim", "a", 1, 0, False, 0, 0, 0, 0.0]
BODY = msgspec.msgpack.encode({"team": "t", "key": "k", "valid_until": 1, "fingerprint": ""})
# An unknown field, which the decoder skips, with a value that is nested too deeply.
DEEP_BODY = b"\x81\xa1x" + b"\x91" * 50_000 + b"\x01"


def sign(payload: bytes) -> bytes:
    return codec._mac(payload, KEY) + payload


@st.composite
def frames(draw: st.DrawFn) -> bytes:
    """Draw authenticated payloads: arbitrary bytes, or frames with arbitrary fields or bodies."""
    if draw(st.booleans()):
        return sign(draw(RAW))
    names = [field.name for field in attrs.fields(codec._Frame)]
    frame: dict[str, Any] = dict(zip(names, FRAME, strict=False))
    frame["type_name"] = draw(st.sampled_from([kind.__name__ for kind in MESSAGES] + ["Later"]))
    foreign = st.builds(msgspec.msgpack.encode, VALUES)
    frame["body"] = msgspec.Raw(draw(st.sampled_from([BODY, DEEP_BODY]) | foreign))
    frame.update(draw(st.dictionaries(st.sampled_from(names[:-1]), VALUES, max_size=2)))
    try:
        return sign(msgspec.msgpack.encode(frame))
    except (OverflowError, UnicodeEncodeError):
        return sign(b"")


# Guards against a decoder that fails with an unexpected error, or accepts an unauthenticated or
# malformed payload.
@REPEATABLE
@given(frames() | RAW)
def test_codec_refuses_what_is_no_message(data: bytes):
    try:
        envelope = codec.decode(data, [KEY])
    except codec.CodecError:
        return
    assert data[: codec._MAC_BYTES] == codec._mac(data[codec._MAC_BYTES :], KEY)
    assert type(envelope.message) in {*MESSAGES, codec.UnknownMessage}


# Guards against a payload that stops the mesh, or reaches a handler of another message type.
@REPEATABLE
@given(frames() | RAW)
def test_mesh_survives_any_bytes_and_hands_over_only_its_types(data: bytes):
    async def scenario() -> None:
        async with TimerService() as timers:
            mesh = Mesh(
                process_id="b",
                incarnation=1,
                listen="127.0.0.1:0",
                address_by_peer={"a": "127.0.0.1:9"},
                keys=[KEY],
                timers=timers,
                counters=(counters := Counters()),
            )
            seen: list[object] = []
            for kind in MESSAGES:
                mesh.handlers_by_type[kind] = lambda _, message: seen.append(message)
            mesh._handle(data)
            assert counters.get("link.handler_errors") == 0
            assert all(isinstance(item, MESSAGES) for item in seen)
            mesh._handle(
                codec.encode(codec.Envelope("a", 1 << 62, Answer(key="good", code=1000)), KEY)
            )
            # Any incarnation that an authenticated peer states is accepted, also a huge one.
            assert seen[-1:] == [Answer(key="good", code=1000)]

    anyio.run(scenario)


def make_feed(disk: Disk) -> ConfigurationFeed:
    """Return a configuration feed that is not started and has its cache on `disk`."""
    return ConfigurationFeed(
        transport=None,
        control_ids=[],
        timers=TIMERS,
        counters=Counters(),
        cache_path=disk.folder / "configuration",
        storage=disk.storage(),
    )


async def fill(disk: Disk) -> None:
    """Write each kind of file of a control process, and a configuration cache."""
    storage = disk.storage()
    await initialise(storage, node_id="c1", first=True, initialised_at=1.0, random=random.Random(1))
    starts = NewestStarts(storage)
    starts.open()
    await starts.report("c2", StartCheck("d", 1.0, 1, 1))
    log = Log(storage, initial_members=["c1"])
    await log.open()
    log.set_term_and_vote(3, "c1")
    for index in range(1, 4):
        log.append(index, [Entry(term=3, change=Change(f"c{index}", index, "drain_vm", "v"))])
        await log.sync()
    log.close()
    registry = KeyRegistry(storage, timers=TIMERS, counters=Counters(), disk_replaced_at=None)
    await registry.open()
    for number in range(3):
        await registry.claim(claim(number))
    registry.close()
    feed = make_feed(disk)
    await feed._accept(Configuration(version=4))


TIMERS = TimerService(wall_clock=lambda: 1_800_000_000.0)


def claim(number: int, entry_id: str = "e1") -> Claim:
    return Claim("t", f"k{number}", 1_800_000_100, "f", entry_id, 1)


async def read(disk: Disk) -> None:
    """Read the files that `fill` wrote; raise `ApricotError`, or fail if something is missing."""
    storage = disk.storage()
    identity = await record_start(storage, node_id="c1", random=random.Random(2))
    assert identity.first
    starts = NewestStarts(storage)
    starts.open()
    log = Log(storage, initial_members=["c1"])
    await log.open()
    registry = KeyRegistry(storage, timers=TIMERS, counters=Counters(), disk_replaced_at=None)
    try:
        await registry.open()
        assert (log.term, log.voted_for, log.last_index) == (3, "c1", 3)
        for number in range(3):
            assert (await registry.claim(claim(number, "e2"))).entry_id == "e1"
    finally:
        log.close()
        registry.close()
    feed = make_feed(disk)
    feed._read_cache()
    assert feed.configuration().version == 4


def damages(content: bytes, *, checked: bool) -> st.SearchStrategy[bytes]:
    """Return a strategy for damaged contents of a file: a flipped bit or a lost byte.

    It is in the first half of the file, because a damaged end of a `checked` file counts
    as an unfinished write. Other files may also be replaced by arbitrary content.
    """
    at = st.integers(0, len(content) // 2 - 1)
    flipped = st.builds(
        lambda i, bit: content[:i] + bytes([content[i] ^ (1 << bit)]) + content[i + 1 :],
        at,
        st.integers(0, 7),
    )
    cut = st.builds(lambda i: content[:i] + content[i + 1 :], at)
    return flipped | cut if checked else flipped | cut | RAW | st.just(DEEP)


# Guards against damage to a file of a control process, or to a configuration cache, that goes
# unnoticed and loses a synced vote, entry or claim.
@pytest.mark.parametrize("name", ["log", "claims", "starts", "configuration", "identity"])
@settings(REPEATABLE, max_examples=60)
@given(data=st.data())
def test_damaged_files_are_refused_or_hold_everything(name: str, data: st.DataObject):
    async def scenario(folder: str) -> None:
        disk = Disk(Path(folder))
        await fill(disk)
        await read(disk)
        path = next(path for path in disk.folder.iterdir() if path.stem == name)
        content = path.read_bytes()
        path.write_bytes(data.draw(damages(content, checked=name in {"log", "claims"})))
        refusal: ApricotError | None = None
        try:
            await read(disk)
        except ApricotError as error:
            refusal = error
        assert refusal is None or (refusal.code in {5001, 5101, 5102} and refusal.remedy)

    with tempfile.TemporaryDirectory() as folder:
        run(lambda: scenario(folder))
