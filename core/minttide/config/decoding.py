"""Decodes JSON into structs and reports every location whose type doesn't match."""

import difflib
from collections.abc import Callable
from typing import Any

import msgspec
import msgspec.inspect as inspect

from minttide.decoding import MalformedBytesError, decode_any_json
from minttide.findings import Findings

MAX_SHOWN_CHARS = 40
"""Longest excerpt of a value in a finding."""


class JsonTypeChecker:
    """Checks the values of one file against msgspec types. Locations are JSON paths from `$`."""

    def __init__(self, file: str, findings: Findings) -> None:
        self._file = file
        self._findings = findings
        self._checks: dict[type, Callable[[Any, Any, str], None]] = {
            inspect.StructType: self._check_struct,
            inspect.UnionType: self._check_union,
            inspect.ListType: self._check_list,
        }

    def check(self, value: Any, kind: inspect.Type, location: str = "$") -> None:
        """Check `value` against `kind` and add a finding for each mismatch."""
        self._checks.get(type(kind), self._check_plain)(value, kind, location)

    def _add(self, location: str, message: str) -> None:
        self._findings.add(self._file, location, message)

    def _check_plain(self, value: Any, kind: inspect.Type, location: str) -> None:
        expected = _describe_type(kind)
        if not _matches(value, kind):
            self._add(location, f"expected {expected}, got {_excerpt(value)}")

    def _check_list(self, value: Any, kind: inspect.ListType, location: str) -> None:
        if not isinstance(value, list):
            self._add(location, f"expected a list, got {_excerpt(value)}")
            return
        for index, item in enumerate(value):
            self.check(item, kind.item_type, f"{location}[{index}]")

    def _check_union(self, value: Any, kind: inspect.UnionType, location: str) -> None:
        if value is None and any(isinstance(t, inspect.NoneType) for t in kind.types):
            return
        options = [t for t in kind.types if not isinstance(t, inspect.NoneType)]
        tagged = [t for t in options if isinstance(t, inspect.StructType) and t.tag_field]
        if len(options) > 1 and len(tagged) == len(options):
            self._check_tagged(value, tagged, location)
        else:
            self.check(value, options[0], location)

    def _check_tagged(self, value: Any, options: list[inspect.StructType], location: str) -> None:
        if not isinstance(value, dict):
            self._add(location, f"expected an object, got {_excerpt(value)}")
            return
        field = str(options[0].tag_field)
        tags = [str(option.tag) for option in options]
        chosen = [option for option in options if option.tag == value.get(field)]
        if chosen:
            self._check_struct(value, chosen[0], location)
        elif field in value:
            suggestion = suggest(str(value[field]), tags)
            self._add(f"{location}.{field}", f"must be one of {', '.join(tags)}{suggestion}")
        else:
            self._add(location, f"the key {field!r} is missing; must be one of {', '.join(tags)}")

    def _check_struct(self, value: Any, kind: inspect.StructType, location: str) -> None:
        if not isinstance(value, dict):
            self._add(location, f"expected an object, got {_excerpt(value)}")
            return
        fields = {field.encode_name: field for field in kind.fields}
        known = [*fields, *([kind.tag_field] if kind.tag_field else [])]
        for key in value:
            if key not in known:
                self._add(f"{location}.{key}", f"unknown key{suggest(key, known)}")
        for name, field in fields.items():
            if name in value:
                self.check(value[name], field.type, f"{location}.{name}")
            elif field.required:
                self._add(location, f"the key {name!r} is missing")


def suggest(word: str, known: list[str]) -> str:
    """Return "; did you mean ...?" with the closest of `known`, or an empty string."""
    matches = difflib.get_close_matches(word, known, n=1, cutoff=0.5)
    return f"; did you mean {matches[0]!r}?" if matches else ""


_TYPE_NAMES: dict[type, str] = {
    inspect.StrType: "a string",
    inspect.IntType: "an integer",
    inspect.FloatType: "a number",
    inspect.BoolType: "true or false",
}


def _describe_type(kind: inspect.Type) -> str:
    if isinstance(kind, inspect.EnumType):
        return "one of " + ", ".join(str(member.value) for member in kind.cls)
    return _TYPE_NAMES.get(type(kind), "another value")


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


def _excerpt(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."


def decode_json(file: str, text: bytes, type_: Any, findings: Findings) -> Any | None:
    """Decode `text` as `type_`; return None and add findings if it doesn't match the type."""
    if text.startswith(b"\xef\xbb\xbf"):
        text = text[3:]
    found = Findings()
    try:
        raw = decode_any_json(text)
    except MalformedBytesError as exc:
        findings.add(file, "$", f"invalid JSON: {exc}")
        return None
    JsonTypeChecker(file, found).check(raw, inspect.type_info(type_))
    findings.extend(found)
    if found:
        return None
    try:
        return msgspec.convert(raw, type_)
    except msgspec.ValidationError as exc:
        findings.add(file, "$", str(exc))
        return None
