"""The check of specifications: truncated searches, violations and undetected faults fail."""

import minicheck
import pytest

from spec import common
from spec.common import Spec, check


def counter(limit, bound):
    def build(broken):
        return minicheck.Protocol(
            name="counter",
            candidate=False,
            fields=("n",),
            initial=(0,),
            transitions=lambda s: [("inc", (s[0] + 1,))] if s[0] < limit else [],
            invariants={"bounded": lambda d: d["n"] <= (bound if broken is None else 1)},
        )

    return build


@pytest.mark.parametrize(
    ("limit", "bound", "broken", "passed"),
    [
        (3, 3, {}, [True]),
        (3, 2, {}, [False]),
        (50, 50, {}, [False]),  # more states than the search limit
        (3, 3, {"tight": "bounded"}, [True, True]),
        (1, 3, {"tight": "bounded"}, [True, False]),
    ],
)
def test_passes_only_on_a_complete_search_and_a_counterexample_for_each_fault(
    limit, bound, broken, passed, monkeypatch
):
    monkeypatch.setattr(common, "MAX_STATES", 20)
    results = check(Spec("counter", counter(limit, bound), broken))
    assert [r.passed for r in results] == passed
