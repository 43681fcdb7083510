"""Runs the bench: `python -m apricotpoint._bench`."""

from __future__ import annotations

from apricotpoint._bench.program import main

main()
