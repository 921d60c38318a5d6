"""The root of the exceptions that cedarthread raises, and the error of every configuration.

Errors that a caller handles as part of normal operation are values (``Outcome``, ``CallRejected``, ...), not
exceptions. An exception of this module reports an input that cannot be used; its text names where and why.
"""

from __future__ import annotations


class CedarthreadError(Exception):
    """An input, file or message that cannot be used.

    The text names the place (file, section, field or offset) and what is wrong there. Each package derives
    its own classes from this one, so that a caller can catch all of them at once.
    """


class ConfigurationError(CedarthreadError):
    """A configuration that cannot be used, in words for the operator who wrote the configuration.

    Args:
        problem: What was found and what is wanted, without the name of a Python type.
        source: The file or the environment variable; empty where the caller does not know the file.
        key_path: The key, with the keys above it: ``settings.classes[0].deadline``; empty for the whole file.
    """

    def __init__(self, problem: str, *, source: str = "", key_path: str = "") -> None:
        super().__init__(": ".join(part for part in (source, key_path, problem) if part))
        self.problem = problem
        self.source = source
        self.key_path = key_path
