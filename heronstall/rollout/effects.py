"""How much worse new is than old: one figure's effect, from dispatchers before and after, with its doubt.

The model, for dispatcher i in block t of time (the fleet's own time before in several blocks, then the
watch):

    y_it = own_i + common_(zone of i, t) + effect * (i is new in t) + noise_it,  var noise_it = s2 * (1/n_it
    + r)

`own_i` takes up that dispatchers differ for good, `common` whatever befalls a zone's old and new alike;
what is left is the difference in differences (Angrist and Pischke, Mostly Harmless Econometrics, ch. 5).
The unit is a dispatcher in a block, however many jobs it had: `r` is the part of the noise that more jobs
do not lessen, and is chosen by likelihood. Blocks before the change tell how much dispatchers move against
each other by themselves.

Free of I/O. Works on plain arrays; all randomness is the caller's.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray
from scipy import special  # not stats: that takes a second to import

RATIOS = (0.0, 0.3, 1.0, 3.0, 10.0)  # r times the median n
LEAST_DF = 3
Floats = NDArray[np.float64]


class Row(NamedTuple):
    """A dispatcher in a block. `x` is the count of a share, None for other figures."""

    dispatcher: str
    zone: str
    block: int
    new: bool
    y: float
    n: float
    x: float | None = None


class Effect(NamedTuple):
    """An estimate, its standard error, its degrees of freedom, and one-sided p-values of "not above 0".

    `p` is of dispatchers; `exact`, of a share's counts alone, guards against few and rare events, where
    nothing is near a normal law. Both must be small.
    """

    value: float
    error: float
    df: int
    p: float
    exact: float

    def least(self, alpha: float) -> float:
        """What the effect is above, but for a chance of alpha."""
        return self.value + float(special.stdtrit(self.df, alpha)) * self.error


def effects(rows: Sequence[Row], split: bool) -> dict[str, Effect]:
    """The effect over all zones under "", or with `split` one for each zone that can tell.

    A zone without a new and an old dispatcher in the same block tells nothing of the effect; it still tells
    of the noise. Empty where there is too little to tell anything.
    """
    last = max((row.block for row in rows), default=0)
    now = [row for row in rows if row.block == last]
    both = {r.zone for r in now if r.new} & {r.zone for r in now if not r.new}
    # Only dispatchers that were there before tell a difference.
    before = {row.dispatcher for row in rows if row.block < last}
    rows = [row for row in rows if row.dispatcher in before and (row.zone in both or not row.new)]
    zones = sorted({row.zone for row in rows if row.new and row.block == last})
    if not zones:
        return {}
    names = zones if split else [""]
    own = {name: k for k, name in enumerate(sorted({row.dispatcher for row in rows}))}
    common = {key: k for k, key in enumerate(sorted({(row.zone, row.block) for row in rows}))}
    x = np.zeros((len(rows), len(own) + len(common) + len(names)))
    for k, row in enumerate(rows):
        x[k, own[row.dispatcher]] = 1.0
        x[k, len(own) + common[row.zone, row.block]] = 1.0
        if row.new:
            x[k, len(own) + len(common) + (zones.index(row.zone) if split else 0)] = 1.0
    y = np.array([row.y for row in rows])
    n = np.array([max(row.n, 1e-9) for row in rows])
    fit = _fit(x, y, n, len(names))
    if fit is None:
        return {}
    values, errors, df = fit
    made = {}
    for k, name in enumerate(names):
        some = [row for row in rows if not split or row.zone == name]
        exact, floor = _counts(some, last)
        error = max(float(errors[k]), floor)
        if not np.isfinite(error) or error <= 0:
            continue
        p = float(special.stdtr(df, -values[k] / error))
        made[name] = Effect(float(values[k]), error, df, p, exact)
    return made


def _fit(x: Floats, y: Floats, n: Floats, effects: int) -> tuple[Floats, Floats, int] | None:
    """Weighted least squares, r by likelihood: the last columns' values and errors, degrees of freedom."""
    best: tuple[float, Floats, Floats, int] | None = None
    median = float(np.median(n))
    for ratio in RATIOS:
        variance = 1.0 / n + ratio / median
        root = 1.0 / np.sqrt(variance)
        a, b = x * root[:, None], y * root
        gram = a.T @ a
        inverse = np.linalg.pinv(gram, rcond=1e-10, hermitian=True)
        beta = inverse @ (a.T @ b)
        df = len(y) - int(round(float(np.trace(inverse @ gram))))
        if df < LEAST_DF:
            return None
        left = b - a @ beta
        s2 = float(left @ left) / df
        if s2 <= 0:
            s2 = 1e-18
        likelihood = -0.5 * (df * np.log(s2) + float(np.log(variance).sum()))
        if best is None or likelihood > best[0]:
            errors = np.sqrt(np.maximum(np.diag(inverse)[-effects:], 0.0) * s2)
            best = (float(likelihood), beta[-effects:], errors, df)
    assert best is not None
    return best[1], best[2], best[3]


def _counts(rows: Sequence[Row], last: int) -> tuple[float, float]:
    """For a share: the chance of so many among the new by counts alone, and the least error they allow."""
    now = [row for row in rows if row.block == last]
    if not now or any(row.x is None for row in now):
        return 0.0, 0.0
    x1, n1 = (sum(getattr(r, a) for r in now if r.new) for a in ("x", "n"))
    x0, n0 = (sum(getattr(r, a) for r in now if not r.new) for a in ("x", "n"))
    if n1 <= 0 or n0 <= 0:
        return 1.0, float("inf")
    part = (x0 + x1 + 0.5) / (n0 + n1 + 1)
    floor = float(np.sqrt(part * (1 - part) * (1 / n1 + 1 / n0))) if part < 1 else 0.0
    count = np.ceil(x1)
    # At least so many of all came to the new, were it a draw by their jobs: the binomial law's upper tail.
    exact = float(special.bdtrc(count - 1, int(np.ceil(x0 + x1)), n1 / (n0 + n1))) if count > 0 else 1.0
    return exact, floor
