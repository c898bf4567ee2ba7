"""Formats log records as one event per line, as key=value pairs or as JSON with the same fields."""

import json
import logging
import re
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

from pythonjsonlogger.core import BaseJsonFormatter

from minttide.config.settings import LogFormat, LogLevel
from minttide.ids import HostId
from minttided.operators.log_writer import NonBlockingHandler

_RECORD_FIELDS = ("levelname", "name", "message")
_FIELD_NAMES = {"levelname": "level", "name": "logger", "message": "event"}
_FIELD_ORDER = ("time", "level", "host", "logger", "event")
_UNQUOTED = re.compile(r"[^\s\"=\\\x00-\x1f\x7f]+")

_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


class EventFormatter(BaseJsonFormatter):
    """Converts a log record to fields: time, level, host, logger, event and the extra fields."""

    def __init__(self, host: HostId):
        super().__init__(_RECORD_FIELDS, rename_fields=_FIELD_NAMES, static_fields={"host": host})

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Add the fields of one record to `log_data`, the common ones first."""
        fields: dict[str, Any] = {}
        super().add_fields(fields, record, message_dict)
        fields["time"] = _timestamp(record.created)
        fields["level"] = record.levelname.lower()
        log_data.update((key, fields.pop(key)) for key in _FIELD_ORDER if key in fields)
        log_data.update(fields)


class JsonFormatter(EventFormatter):
    """Formats the fields as one JSON object."""

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the line."""
        return json.dumps(log_data, default=str)


class KeyValueFormatter(EventFormatter):
    """Formats the fields as key=value pairs, with values quoted if necessary."""

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the line."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


_FORMATTERS: dict[LogFormat, type[EventFormatter]] = {
    LogFormat.KEY_VALUE: KeyValueFormatter,
    LogFormat.JSON: JsonFormatter,
}


def configure_logging(
    host: HostId, level: LogLevel, log_format: LogFormat, stream: TextIO | None = None
) -> logging.Handler:
    """Configure the root logger to write to `stream` or standard output; return the handler.

    Writing to standard output never blocks.
    """
    handler: logging.Handler = logging.StreamHandler(stream) if stream else _stdout_handler()
    handler.setFormatter(_FORMATTERS[log_format](host))
    root = logging.getLogger()
    root.setLevel(_LEVELS[level])
    root.addHandler(handler)
    # The HTTP/2 library logs every frame at the debug level.
    logging.getLogger("hpack").setLevel(logging.WARNING)
    return handler


def _stdout_handler() -> logging.Handler:
    return NonBlockingHandler(sys.stdout.fileno())


def _timestamp(created: float) -> str:
    time_utc = datetime.fromtimestamp(created, tz=UTC)
    return time_utc.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _quote(value: Any) -> str:
    if isinstance(value, float):
        value = round(value, 6)
    if isinstance(value, list | tuple | set | frozenset):
        value = ",".join(str(item) for item in value)
    text = str(value)
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)
