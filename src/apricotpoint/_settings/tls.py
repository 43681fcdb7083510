"""TLS settings of an HTTP interface."""

from __future__ import annotations

import attrs


@attrs.frozen
class TlsSettings:
    """Paths of the PEM files that hypercorn serves TLS with."""

    certificate: str
    private_key: str
