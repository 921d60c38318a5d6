"""Structured log lines in logfmt: a stable event name, followed by ``key=value`` fields.

Values that are empty, or contain whitespace, quotes, backslashes or equals signs, are in double quotes with
JSON escapes; a bool is ``true`` or ``false``. Components without I/O return their lines as
:class:`~cedarthread.model.actions.LogMessage`; modules with I/O pass them to :mod:`logging`. Each event is
documented in ``docs/ON-CALL.md``, which ``tests/unit/test_log_events.py`` checks. This module does not use a
logging library for this format, because importing one cost half as much CPU time as starting the program.
"""

from __future__ import annotations

import json
import re

_NEEDS_QUOTES = re.compile(r'[\s"=\\]')


def format_event(event: str, **fields: object) -> str:
    """Return one log line with the fields in order; ``event`` is snake_case and stable across versions."""
    return " ".join([event, *(f"{name}={_format_value(value)}" for name, value in fields.items())])


def _format_value(value: object) -> str:
    text = str(value).lower() if isinstance(value, bool) else str(value)
    if not text or _NEEDS_QUOTES.search(text):
        return json.dumps(text, ensure_ascii=False)
    return text
