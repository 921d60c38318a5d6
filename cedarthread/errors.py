"""The base class of cedarthread's exceptions, and the exception for invalid configurations.

Errors that a caller handles as part of normal operation are values (``Outcome``, ``CallRejected``, ...), not
exceptions. The exceptions of this module report invalid input; their messages state where and why.
"""

from __future__ import annotations


class CedarthreadError(Exception):
    """An invalid input, file or message.

    The error message states the location (file, section, field or offset) and the problem. Each package
    derives its own exceptions from this class, so that a caller can catch all of them at once.
    """


class ConfigurationError(CedarthreadError):
    """An invalid configuration; the error message is written for operators.

    Args:
        problem: What was found and what was expected, without names of Python types.
        source: The file or the environment variable; empty if unknown.
        key_path: The path of keys, for example ``settings.classes[0].deadline``; empty for the whole file.
    """

    def __init__(self, problem: str, *, source: str = "", key_path: str = "") -> None:
        super().__init__(": ".join(part for part in (source, key_path, problem) if part))
        self.problem = problem
        self.source = source
        self.key_path = key_path
