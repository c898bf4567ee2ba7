"""Checks that decoded JSON has the shape of a struct, and reports every place where it hasn't."""

import difflib
from collections.abc import Callable
from typing import Any

import msgspec
import msgspec.inspect as inspect

from minttide.findings import Findings

MAX_SHOWN_CHARS = 40
"""Longest piece of a value that a finding repeats."""


class Shape:
    """One check of one file. Places are JSON paths from `$`."""

    def __init__(self, file: str, findings: Findings) -> None:
        self._file = file
        self._findings = findings
        self._checks: dict[type, Callable[[Any, Any, str], None]] = {
            inspect.StructType: self._check_struct,
            inspect.UnionType: self._check_union,
            inspect.ListType: self._check_list,
        }

    def check(self, value: Any, kind: inspect.Type, place: str = "$") -> None:
        """Check `value` against `kind` and add what is wrong to the findings."""
        self._checks.get(type(kind), self._check_plain)(value, kind, place)

    def _add(self, place: str, message: str) -> None:
        self._findings.add(self._file, place, message)

    def _check_plain(self, value: Any, kind: inspect.Type, place: str) -> None:
        expected = _expected(kind)
        if not _matches(value, kind):
            self._add(place, f"expected {expected}, got {_show(value)}")

    def _check_list(self, value: Any, kind: inspect.ListType, place: str) -> None:
        if not isinstance(value, list):
            self._add(place, f"expected a list, got {_show(value)}")
            return
        for index, item in enumerate(value):
            self.check(item, kind.item_type, f"{place}[{index}]")

    def _check_union(self, value: Any, kind: inspect.UnionType, place: str) -> None:
        if value is None and any(isinstance(t, inspect.NoneType) for t in kind.types):
            return
        options = [t for t in kind.types if not isinstance(t, inspect.NoneType)]
        tagged = [t for t in options if isinstance(t, inspect.StructType) and t.tag_field]
        if len(options) > 1 and len(tagged) == len(options):
            self._check_tagged(value, tagged, place)
        else:
            self.check(value, options[0], place)

    def _check_tagged(self, value: Any, options: list[inspect.StructType], place: str) -> None:
        if not isinstance(value, dict):
            self._add(place, f"expected an object, got {_show(value)}")
            return
        field = str(options[0].tag_field)
        tags = [str(option.tag) for option in options]
        chosen = [option for option in options if option.tag == value.get(field)]
        if chosen:
            self._check_struct(value, chosen[0], place)
        elif field in value:
            near = nearest(str(value[field]), tags)
            self._add(f"{place}.{field}", f"must be one of {', '.join(tags)}{near}")
        else:
            self._add(place, f"the key {field!r} is missing; it is one of {', '.join(tags)}")

    def _check_struct(self, value: Any, kind: inspect.StructType, place: str) -> None:
        if not isinstance(value, dict):
            self._add(place, f"expected an object, got {_show(value)}")
            return
        fields = {field.encode_name: field for field in kind.fields}
        known = [*fields, *([kind.tag_field] if kind.tag_field else [])]
        for key in value:
            if key not in known:
                self._add(f"{place}.{key}", f"unknown key{nearest(key, known)}")
        for name, field in fields.items():
            if name in value:
                self.check(value[name], field.type, f"{place}.{name}")
            elif field.required:
                self._add(place, f"the key {name!r} is missing")


def nearest(word: str, known: list[str]) -> str:
    """Return "; did you mean ...?" with the nearest known word, or nothing."""
    found = difflib.get_close_matches(word, known, n=1, cutoff=0.5)
    return f"; did you mean {found[0]!r}?" if found else ""


_NAMES: dict[type, str] = {
    inspect.StrType: "a string",
    inspect.IntType: "an integer",
    inspect.FloatType: "a number",
    inspect.BoolType: "true or false",
}


def _expected(kind: inspect.Type) -> str:
    if isinstance(kind, inspect.EnumType):
        return "one of " + ", ".join(str(member.value) for member in kind.cls)
    return _NAMES.get(type(kind), "another value")


def _matches(value: Any, kind: inspect.Type) -> bool:
    match kind:
        case inspect.EnumType():
            return value in [member.value for member in kind.cls]
        case inspect.StrType():
            return isinstance(value, str)
        case inspect.BoolType():
            return isinstance(value, bool)
        case inspect.IntType():
            return isinstance(value, int) and not isinstance(value, bool)
        case inspect.FloatType():
            return isinstance(value, int | float) and not isinstance(value, bool)
    return False


def _show(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."


def decode_checked(file: str, text: bytes, type_: Any, findings: Findings) -> Any | None:
    """Decode `text` as `type_`; return None and add findings when it doesn't fit."""
    if text.startswith(b"\xef\xbb\xbf"):
        text = text[3:]
    found = Findings()
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        findings.add(file, "$", f"not JSON: {exc}")
        return None
    Shape(file, found).check(raw, inspect.type_info(type_))
    findings.extend(found)
    if found:
        return None
    try:
        return msgspec.convert(raw, type_)
    except msgspec.ValidationError as exc:
        findings.add(file, "$", str(exc))
        return None
