"""Entry point of the benchmark: `python -m apricotpoint._bench`."""

from __future__ import annotations

import sys

from apricotpoint._bench.program import main

sys.exit(main())
