"""Least-squares lines through measured points, with the standard error of the slope."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True)
class Line:
    """A least-squares line `intercept + slope * x`; `error` is the slope's standard error."""

    intercept: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line through at least four points. Raises `ValueError` for fewer."""
    if len(xs) < 4:
        raise ValueError("a slope needs at least four sizes")
    x, y = np.asarray(xs, float), np.asarray(ys, float)
    x_variation = float(((x - x.mean()) ** 2).sum())
    slope = float(((x - x.mean()) * (y - y.mean())).sum()) / x_variation
    intercept = float(y.mean()) - slope * float(x.mean())
    residual = float(((y - intercept - slope * x) ** 2).sum())
    error = (residual / (len(x) - 2) / x_variation) ** 0.5
    return Line(intercept, slope, error)
