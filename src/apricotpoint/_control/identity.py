"""The identity file of a data folder: its node, its disk and the count of its starts."""

from __future__ import annotations

import os
import random
from pathlib import Path

import attrs
import msgspec

from apricotpoint._control import log, registry
from apricotpoint._control.records import check_record_file, create_record_file
from apricotpoint._control.storage import PROBE_FILE_NAME, Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError

_FILE_NAME = "identity"


@attrs.frozen
class Identity:
    """The node that a data folder belongs to, and the id and starts of the disk.

    `first` is False for a folder that replaces a lost disk. `initialised_at`
    is in unix seconds. `start_counter` increases with every start of the
    process. `start_nonce` distinguishes two starts with the same counter,
    which come from two copies of one disk.
    """

    node_id: str
    disk_id: str
    first: bool
    initialised_at: float
    start_counter: int = 0
    start_nonce: int = 0


async def initialise(
    storage: Storage, *, node_id: str, first: bool, initialised_at: float, random: random.Random
) -> Identity:
    """Create the files of an empty data folder and return its new identity.

    `first` must be True only for a new deployment; otherwise the folder counts
    as the replacement of a lost disk. `initialised_at` is the current time in
    unix seconds. Raises `ApricotError` 5001 if the folder is not empty.
    """
    storage.folder.mkdir(parents=True, exist_ok=True)
    if any(storage.folder.iterdir()):
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"data folder {storage.folder} is not empty, so it cannot be initialised",
            remedy="name an empty folder, or start without initialising",
        )
    identity = Identity(
        node_id=node_id,
        disk_id=f"{random.getrandbits(64):016x}",
        first=first,
        initialised_at=initialised_at,
    )
    for name in (log.FILE_NAME, registry.FILE_NAME):
        await create_record_file(storage, name)
    # The identity file is written last, so a folder that has one also has both record files.
    await storage.replace_file(_FILE_NAME, msgspec.json.encode(identity))
    return identity


def is_initialised(folder: Path) -> bool:
    """Return whether the initialisation of a data folder was completed."""
    return (folder / _FILE_NAME).exists()


def discard_incomplete_initialisation(folder: Path) -> None:
    """Delete the files that an interrupted initialisation has left.

    The identity file is written last, so a folder without one holds nothing
    that was ever acknowledged. Must not be called for any other folder.
    """
    assert not is_initialised(folder)
    names = (log.FILE_NAME, registry.FILE_NAME, _FILE_NAME)
    for name in (*names, *(f"{name}.new" for name in names), PROBE_FILE_NAME):
        (folder / name).unlink(missing_ok=True)


async def record_start(storage: Storage, *, node_id: str, random: random.Random) -> Identity:
    """Increment the start counter on disk and return the identity of this start.

    Must be called once at each start of the process, and again only after it
    raised `DiskFullError`, which leaves the file as before. Raises `ApricotError`
    5001 if the folder is not initialised or belongs to another process, 5101
    if a record file has lost its content, and 5102 if the identity file
    cannot be read.
    """
    path = storage.folder / _FILE_NAME
    identity = _read_identity(path)
    for name in (log.FILE_NAME, registry.FILE_NAME):
        check_record_file(storage, name)
    if identity.node_id != node_id:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"data folder {storage.folder} belongs to {identity.node_id!r}, not to {node_id!r}",
            remedy="name the folder of this process in the settings",
        )
    identity = attrs.evolve(
        identity,
        start_counter=identity.start_counter + 1,
        start_nonce=random.getrandbits(63),
    )
    await storage.replace_file(_FILE_NAME, msgspec.json.encode(identity))
    return identity


def _read_identity(path: Path) -> Identity:
    try:
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError as error:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"data folder {os.fspath(path.parent)} is not initialised",
            remedy="initialise it; use --first only for a new deployment",
        ) from error
    except (OSError, *DECODE_ERRORS) as error:
        raise ApricotError(
            ResultCode.LOG_CHECKSUM,
            f"identity file {path} cannot be read: {error}",
            remedy="replace the disk content: initialise the folder again without --first",
        ) from error
