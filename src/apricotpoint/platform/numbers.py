"""Numbers in the JSON documents of the platform.

Python and msgspec read integers of any size, but messages between processes carry 64 bits, and
floats overflow at 1024. Documents are refused where they enter, with the name of the field.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

# The largest integer that every JSON implementation represents exactly.
MAX_INTEGER = (1 << 53) - 1

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
