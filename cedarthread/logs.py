"""Log lines for people and for programs that read them: a stable event name, then ``key=value`` fields.

The form is logfmt: values with spaces, quotes or equals signs, and empty ones, stand in double quotes with
JSON's escapes; a bool is ``true`` or ``false``. Pure components return their lines as
:class:`~cedarthread.model.actions.LogMessage`; modules with I/O hand them to :mod:`logging`. Each event has a
line in ``docs/ON-CALL.md`` (``tests/unit/test_log_events.py``). A logging library of the same form was
measured first: its import alone cost half as much processor time as starting the program does.
"""

from __future__ import annotations

import json
import re

_NEEDS_QUOTES = re.compile(r'[\s"=\\]')


def format_event(event: str, **fields: object) -> str:
    """One log line. ``event`` is snake_case and stays the same between versions; fields keep their order."""
    return " ".join([event, *(f"{name}={_format_value(value)}" for name, value in fields.items())])


def _format_value(value: object) -> str:
    text = str(value).lower() if isinstance(value, bool) else str(value)
    if not text or _NEEDS_QUOTES.search(text):
        return json.dumps(text, ensure_ascii=False)
    return text
