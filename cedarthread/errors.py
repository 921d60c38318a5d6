"""The root of the exceptions that cedarthread raises.

Errors that a caller handles as part of normal operation are values (``Outcome``, ``CallRejected``, ...), not
exceptions. What is raised tells that some input can't be used, and its text says where and what.
"""

from __future__ import annotations


class CedarthreadError(Exception):
    """An input, file or message cannot be used.

    The text names the place (file, section, field or offset) and what is wrong there. Each package derives
    its own classes from this one, so that a caller can catch all of them at once.
    """
