"""Estimates how much worse the new release is than the old one in one figure, with its uncertainty.

The model, for dispatcher i in time block t (several blocks of the baseline, then the watch):

    y_it = own_i + common_(zone of i, t) + effect * (i is new in t) + noise_it,  var noise_it = s2 * (1/n_it
    + r)

`own_i` absorbs permanent differences between dispatchers, `common` whatever affects old and new alike in a
zone; the rest is the difference in differences (Angrist and Pischke, Mostly Harmless Econometrics, ch. 5).
The unit of analysis is a dispatcher in a block, whatever its number of jobs: `r` is the part of the noise
that more jobs do not reduce, and is chosen by likelihood. The baseline blocks show how much dispatchers vary
relative to each other without a change.

Free of I/O. Works on plain arrays and uses no randomness of its own.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray
from scipy import special  # importing scipy.stats takes a second

NOISE_RATIOS = (0.0, 0.3, 1.0, 3.0, 10.0)  # candidates for r times the median n
MIN_DF = 3
Floats = NDArray[np.float64]


class BlockValue(NamedTuple):
    """A dispatcher's value `y` in a block, with weight `n`. `x` is the count of a share, else None."""

    dispatcher: str
    zone: str
    block: int
    new: bool
    y: float
    n: float
    x: float | None = None


class Effect(NamedTuple):
    """An estimate, its standard error, its degrees of freedom, and one-sided p-values of "not above 0".

    `p` comes from the model of dispatchers. `exact_p` comes from a share's counts alone and guards against
    few and rare events, whose distribution is far from normal. Both must be small.
    """

    value: float
    standard_error: float
    df: int
    p: float
    exact_p: float

    def lower_bound(self, alpha: float) -> float:
        """Returns the one-sided lower confidence bound of the effect at error probability alpha."""
        return self.value + float(special.stdtrit(self.df, alpha)) * self.standard_error


def estimate_effects(rows: Sequence[BlockValue], split: bool) -> dict[str, Effect]:
    """Returns the effect over all zones under "", or with `split` one for each comparable zone.

    A zone without both a new and an old dispatcher in the last block contributes only to the noise. The
    result is empty where there is too little data.
    """
    last = max((row.block for row in rows), default=0)
    last_rows = [row for row in rows if row.block == last]
    comparable_zones = {r.zone for r in last_rows if r.new} & {r.zone for r in last_rows if not r.new}
    # Only a dispatcher with a baseline contributes a difference.
    before = {row.dispatcher for row in rows if row.block < last}
    rows = [row for row in rows if row.dispatcher in before and (row.zone in comparable_zones or not row.new)]
    zones = sorted({row.zone for row in rows if row.new and row.block == last})
    if not zones:
        return {}
    names = zones if split else [""]
    dispatcher_columns = {name: k for k, name in enumerate(sorted({row.dispatcher for row in rows}))}
    block_columns = {key: k for k, key in enumerate(sorted({(row.zone, row.block) for row in rows}))}
    x = np.zeros((len(rows), len(dispatcher_columns) + len(block_columns) + len(names)))
    for k, row in enumerate(rows):
        x[k, dispatcher_columns[row.dispatcher]] = 1.0
        x[k, len(dispatcher_columns) + block_columns[row.zone, row.block]] = 1.0
        if row.new:
            x[k, len(dispatcher_columns) + len(block_columns) + (zones.index(row.zone) if split else 0)] = 1.0
    y = np.array([row.y for row in rows])
    n = np.array([max(row.n, 1e-9) for row in rows])
    fit = _fit(x, y, n, len(names))
    if fit is None:
        return {}
    values, errors, df = fit
    results = {}
    for k, name in enumerate(names):
        zone_rows = [row for row in rows if not split or row.zone == name]
        exact_p, min_error = _exact_test(zone_rows, last)
        standard_error = max(float(errors[k]), min_error)
        if not np.isfinite(standard_error) or standard_error <= 0:
            continue
        p = float(special.stdtr(df, -values[k] / standard_error))
        results[name] = Effect(float(values[k]), standard_error, df, p, exact_p)
    return results


def _fit(x: Floats, y: Floats, n: Floats, effects: int) -> tuple[Floats, Floats, int] | None:
    """Fits by weighted least squares, with r chosen by likelihood.

    Returns the values and standard errors of the last `effects` columns, and the degrees of freedom.
    """
    best: tuple[float, Floats, Floats, int] | None = None
    median = float(np.median(n))
    for ratio in NOISE_RATIOS:
        variance = 1.0 / n + ratio / median
        root = 1.0 / np.sqrt(variance)
        a, b = x * root[:, None], y * root
        gram = a.T @ a
        inverse = np.linalg.pinv(gram, rcond=1e-10, hermitian=True)
        beta = inverse @ (a.T @ b)
        df = len(y) - int(round(float(np.trace(inverse @ gram))))
        if df < MIN_DF:
            return None
        residuals = b - a @ beta
        s2 = float(residuals @ residuals) / df
        if s2 <= 0:
            s2 = 1e-18
        likelihood = -0.5 * (df * np.log(s2) + float(np.log(variance).sum()))
        if best is None or likelihood > best[0]:
            errors = np.sqrt(np.maximum(np.diag(inverse)[-effects:], 0.0) * s2)
            best = (float(likelihood), beta[-effects:], errors, df)
    assert best is not None
    return best[1], best[2], best[3]


def _exact_test(rows: Sequence[BlockValue], last: int) -> tuple[float, float]:
    """Returns, for a share, the p-value from the counts alone and the least standard error they allow."""
    last_rows = [row for row in rows if row.block == last]
    if not last_rows or any(row.x is None for row in last_rows):
        return 0.0, 0.0
    x1, n1 = (sum(getattr(r, a) for r in last_rows if r.new) for a in ("x", "n"))
    x0, n0 = (sum(getattr(r, a) for r in last_rows if not r.new) for a in ("x", "n"))
    if n1 <= 0 or n0 <= 0:
        return 1.0, float("inf")
    pooled_share = (x0 + x1 + 0.5) / (n0 + n1 + 1)
    min_error = (
        float(np.sqrt(pooled_share * (1 - pooled_share) * (1 / n1 + 1 / n0))) if pooled_share < 1 else 0.0
    )
    count = np.ceil(x1)
    # The probability that the new release gets at least this many of all events, if each job had the same
    # chance of one: the upper tail of the binomial distribution.
    exact_p = float(special.bdtrc(count - 1, int(np.ceil(x0 + x1)), n1 / (n0 + n1))) if count > 0 else 1.0
    return exact_p, min_error
