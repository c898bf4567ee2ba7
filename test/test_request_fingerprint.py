"""What identifies a request, so that its repeats are the same one and no other request is."""

import re

import pytest

from minttide.policy.request_fingerprint import fingerprint_of, is_request_part, make_request_part

REQUEST = ("GET", "/a?b=c", "acme", b"body")
OTHERS = {
    "method": ("PUT", "/a?b=c", "acme", b"body"),
    "target": ("GET", "/a?b=d", "acme", b"body"),
    "account": ("GET", "/a?b=c", "acmf", b"body"),
    "no account": ("GET", "/a?b=c", None, b"body"),
    "body": ("GET", "/a?b=c", "acme", b"bodY"),
    "no body": ("GET", "/a?b=c", "acme", b""),
    "a byte moved from one field to the next": ("GET", "/a?b=ca", "cme", b"body"),
}


def test_fingerprint_is_the_same_for_each_try_and_of_fixed_length():
    part = make_request_part(*REQUEST)
    assert part == make_request_part(*REQUEST)
    assert is_request_part(part)
    assert re.fullmatch("[0-9a-f]{32}", fingerprint_of(part))


@pytest.mark.parametrize("other", OTHERS)
def test_fingerprint_differs_where_a_request_differs(other):
    assert make_request_part(*REQUEST) != make_request_part(*OTHERS[other])


def test_target_that_is_not_text_has_a_fingerprint():
    assert is_request_part(make_request_part("GET", "/\udcff\xff", None, b"\xff"))
