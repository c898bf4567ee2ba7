"""Streams of which several attempts run at a time, and what the other engines answer to them."""

import pytest
from gateway_site import event, plain_response
from silent_site import Case, SilentSite
from stream_site import ALL_EVENTS

from minttided.gateway.streams.run import MAX_SENDS


class ScriptedSite(SilentSite):
    """A silent site whose other engines answer with `scripts`, then as its case says.

    `sent` holds the name of the engine that received each request.
    """

    def __init__(self, case, *scripts):
        super().__init__(case)
        self._scripts = list(scripts)
        self.sent = []

    def next_script(self, engine, head):
        """Return the script for a request with this head."""
        self.sent.append(engine.name)
        if not self.chosen or engine.name in self.chosen or not self._scripts:
            return super().next_script(engine, head)
        self.sends += 1
        self.ran += 1
        return self._scripts.pop(0)


NO_CONTENT = b"HTTP/1.1 204 No Content\r\nx-attempt: 1\r\n\r\n"
OTHER_ANSWERS = {
    "204": NO_CONTENT,
    "302": plain_response(302),
    "400": plain_response(400),
    "404": plain_response(404),
    "409": plain_response(409),
}


# Guards against a stream that ends as complete since its replacement was refused.
@pytest.mark.parametrize("probes", ["time out", "answer"])
@pytest.mark.parametrize("answer", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS)
def test_silent_stream_goes_on_when_its_replacement_is_answered_without_a_stream(answer, probes):
    site = ScriptedSite(Case(probes=probes), [answer])
    answer = site.run()
    assert site.sent == ["a", "b"]
    assert (answer.body, answer.response.complete) == (ALL_EVENTS, True)
    assert (answer.open_streams, answer.open_connections) == (0, 0)


# Guards against a stream that ends as complete before its last event.
@pytest.mark.parametrize("answer", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS)
def test_failed_stream_is_cut_when_its_resumption_is_answered_without_a_stream(answer):
    site = ScriptedSite(Case(length_s=0.02, fails=True), *[[answer]] * MAX_SENDS)
    answer = site.run()
    assert "b" in site.sent
    assert answer.body == event(1)
    assert not answer.response.complete
