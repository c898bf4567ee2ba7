"""JSON Schemas of service files and settings, for use in editors."""

from typing import Any

import msgspec

from minttide.config.service import ServiceFile
from minttide.config.settings import Settings

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"

KINDS: dict[str, Any] = {"service": ServiceFile, "settings": Settings}


def make_schema(kind: str) -> dict[str, Any]:
    """Return the JSON Schema of `kind`, a key of `KINDS`."""
    return {"$schema": SCHEMA_DIALECT, **msgspec.json.schema(KINDS[kind])}
