"""When the last bytes of a connection arrived, as the kernel has recorded it."""

from __future__ import annotations

import socket
import struct
import weakref

import anyio
import logbook

# Of `struct tcp_info` in linux/tcp.h: the state is the first byte, the milliseconds since the last
# bytes arrived are the 12th 32-bit number after eight bytes.
_TCP_INFO_BYTES, _LAST_DATA_OFFSET = 104, 52
_ESTABLISHED, _CLOSE_WAIT = 1, 8
# A connection of the own process is silent for this long in the check of the record.
CHECK_S, MIN_RECORDED_S = 0.06, 0.03

_log = logbook.Logger("arrivals")


class Arrivals:
    """Connections by the address of the client, for the age of what is read from them.

    The kernel records the arrival of bytes also while the process is stopped, so it tells those
    that have waited for the process from those that have just arrived. Some systems report all
    bytes as new, so nothing is known before `check` has found the record to be right.
    """

    def __init__(self) -> None:
        self._is_recorded = False
        self._connection_by_client: weakref.WeakValueDictionary[tuple[str, int], socket.socket] = (
            weakref.WeakValueDictionary()
        )

    def add(self, connection: socket.socket, client: tuple[str, int]) -> None:
        """Add an accepted connection; it is forgotten when it is closed."""
        self._connection_by_client[client] = connection

    def silent_s(self, client: tuple[str, int] | None) -> float | None:
        """Return the seconds since the last bytes of a client arrived, None if not known."""
        connection = None if client is None else self._connection_by_client.get(client)
        if connection is None or not self._is_recorded:
            return None
        return _recorded_silence_s(connection)

    async def check(self) -> None:
        """Find out by a connection to this process whether the system records arrivals."""
        try:
            with (
                socket.create_server(("127.0.0.1", 0)) as listener,
                socket.create_connection(listener.getsockname(), timeout=CHECK_S) as client,
            ):
                listener.settimeout(CHECK_S)
                connection, _ = listener.accept()
                with connection:
                    client.send(b"x")
                    await anyio.sleep(CHECK_S)
                    silent_s = _recorded_silence_s(connection)
        except OSError as error:
            _log.notice("arrivals cannot be checked, so none has an age: {}", error)
            return
        self._is_recorded = silent_s is not None and silent_s >= MIN_RECORDED_S
        if not self._is_recorded:
            _log.notice("the system does not record arrivals: {} s after {} s", silent_s, CHECK_S)


def _recorded_silence_s(connection: socket.socket) -> float | None:
    """Return the seconds since the last bytes arrived, None if the system does not say."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except (OSError, AttributeError):
        # Closed, or a system that does not record arrivals.
        return None
    if len(info) < _LAST_DATA_OFFSET + 4 or info[0] not in (_ESTABLISHED, _CLOSE_WAIT):
        return None
    (silent_ms,) = struct.unpack_from("=I", info, _LAST_DATA_OFFSET)
    return float(silent_ms) / 1000


class RecordingListener(socket.socket):
    """A listening socket that adds the connections which it accepts to `arrivals`."""

    arrivals: Arrivals | None = None

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        """Accept a connection."""
        connection, address = super().accept()
        if self.arrivals is not None:
            self.arrivals.add(connection, (address[0], address[1]))
        return connection, address
