"""Tests of the cost measurements at their smallest sizes."""

from __future__ import annotations

import json
import math

import pytest

from apricotpoint._bench.slopes import MEASURE_BY_PART


@pytest.mark.parametrize("part", MEASURE_BY_PART)
def test_each_part_prints_its_points_and_then_their_fitted_line(
    part: str, capsys: pytest.CaptureFixture[str]
):
    """Guards against a part that fails after an interface change or omits a fitted line.

    Also guards against lines that are fitted to other points than the printed ones.
    """
    MEASURE_BY_PART[part](smallest=True)
    lines = [json.loads(text) for text in capsys.readouterr().out.splitlines()]
    assert lines
    points_by_series: dict[tuple[str, str], list[tuple[float, float]]] = {}
    fitted = set()
    for line in lines:
        series = (line["name"], line["against"])
        assert line["unit"]
        if "slope" in line:
            assert series not in fitted
            assert len(points_by_series[series]) >= 2
            assert math.isfinite(line["slope"])
            assert math.isfinite(line["intercept"])
            fitted.add(series)
        else:
            assert series not in fitted
            assert line["value"] >= 0
            points_by_series.setdefault(series, []).append((line["size"], line["value"]))
    assert fitted == set(points_by_series)
    for points in points_by_series.values():
        assert len({size for size, _ in points}) == len(points)
        assert any(value > 0 for _, value in points)
