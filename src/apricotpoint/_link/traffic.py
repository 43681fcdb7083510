"""Counts of the messages of one process by type, to tell which ones its time and links go to."""

from __future__ import annotations

from collections import defaultdict

import attrs


@attrs.define
class TypeTraffic:
    """The number of messages of one type, and their encoded bytes without TCP/IP headers."""

    messages: int = 0
    bytes: int = 0

    def record(self, size: int) -> None:
        """Count one message of `size` bytes."""
        self.messages += 1
        self.bytes += size


@attrs.define
class Traffic:
    """Messages sent and received by type name; replies count under the type of the reply."""

    sent_by_type: defaultdict[str, TypeTraffic] = attrs.Factory(lambda: defaultdict(TypeTraffic))
    received_by_type: defaultdict[str, TypeTraffic] = attrs.Factory(
        lambda: defaultdict(TypeTraffic)
    )

    def summary(self) -> dict[str, str]:
        """Return `messages/bytes` by direction and type, those with the most bytes first."""
        return {
            f"{direction} {type_name}": f"{traffic.messages}/{traffic.bytes}"
            for direction, by_type in (
                ("sent", self.sent_by_type),
                ("received", self.received_by_type),
            )
            for type_name, traffic in sorted(by_type.items(), key=lambda item: -item[1].bytes)
        }
