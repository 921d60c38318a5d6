"""Typed access to the JSON objects of a configuration.

Each error states the file, the key path, the value found and the value expected. The conversions accept what
Python's ``float``, ``int`` and ``str`` accept, so that a number may also be given as a string. Unknown keys
are ignored.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol, TypeVar, cast

from cedarthread.errors import ConfigurationError
from cedarthread.number_checks import MAX_NUMBER, bounded_number, positive_or_none

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

EnumT = TypeVar("EnumT", bound=Enum)
ParsedT = TypeVar("ParsedT")

MAX_QUOTED_CHARACTERS = 80  # maximum number of characters of a value that an error message quotes

# The exceptions that the conversions raise for a value of the wrong type or out of range.
_CONVERSION_ERRORS = (TypeError, ValueError, ArithmeticError)


class _Convertible(Protocol):
    """A value to pass to ``float`` or ``int``; both raise ``TypeError`` if they do not accept it."""

    def __float__(self) -> float: ...

    def __int__(self) -> int: ...


def parse_json(raw: bytes, source: str = "", key_path: str = "") -> object:
    """Return the value that a JSON document contains.

    Args:
        raw: The document.
        source: The file, for error messages.
        key_path: The key whose value the document is, for error messages.

    Raises:
        ConfigurationError: The document is not valid JSON.
    """
    try:
        return cast("object", json.loads(raw))
    except json.JSONDecodeError as error:
        problem = f"not valid JSON: {error.msg} (line {error.lineno}, column {error.colno})"
    except UnicodeDecodeError as error:
        problem = f"not valid JSON: byte {error.start} is not valid {error.encoding}"
    except RecursionError:
        problem = "not usable: lists or objects are nested too deeply"
    except ValueError:  # Python limits the number of digits of an integer
        problem = "not usable: a number has too many digits"
    raise ConfigurationError(problem, source=source, key_path=key_path)


def describe_value(value: object) -> str:
    """Return a shortened JSON form of a value, for error messages."""
    if isinstance(value, str):
        quoted = json.dumps(value[:MAX_QUOTED_CHARACTERS])
        return quoted if len(value) <= MAX_QUOTED_CHARACTERS else f"{quoted}..."
    if value is None:
        return "null"
    if isinstance(value, Mapping):
        return "an object"
    if isinstance(value, (list, tuple)):
        return "a list"
    if isinstance(value, (bool, int, float)):
        encoded = json.dumps(value)
        return encoded if len(encoded) <= MAX_QUOTED_CHARACTERS else f"a number of {len(encoded)} digits"
    return "a value that is not JSON"


@dataclass(frozen=True, slots=True)
class ConfigValue:
    """One value of a configuration and its location."""

    value: object
    source: str  # path of the file; empty if unknown
    # Path of keys to the value, for example ``settings.classes[0].deadline``; empty for the whole file.
    key_path: str

    def error(self, expected: str) -> ConfigurationError:
        """Return the error for a value that is not as expected, for example not "a number above 0"."""
        problem = f"must be {expected}, found {describe_value(self.value)}"
        return ConfigurationError(problem, source=self.source, key_path=self.key_path)

    def convert(self, expected: str, conversion: Callable[[object], ParsedT]) -> ParsedT:
        """Return the converted value.

        Raises:
            ConfigurationError: The conversion fails for this value.
        """
        try:
            return conversion(self.value)
        except _CONVERSION_ERRORS:
            raise self.error(expected) from None

    def section(self) -> ConfigSection:
        """Return the value, which must be an object."""
        if not isinstance(self.value, Mapping):
            raise self.error("an object")
        return ConfigSection(self.value, self.source, self.key_path)

    def entries(self) -> Iterator[ConfigValue]:
        """Yield the entries of the value, which must be a list."""
        if not isinstance(self.value, Iterable):
            raise self.error("a list")
        for index, entry in enumerate(self.value):
            yield ConfigValue(entry, self.source, f"{self.key_path}[{index}]")

    def number(self, minimum: float = 0.0) -> float:
        """Return the value as a number from ``minimum`` to ``MAX_NUMBER``."""
        return self.convert(
            _describe_range(minimum), lambda value: bounded_number(cast("float", value), minimum)
        )

    def json_number(self, minimum: float = 0.0) -> float:
        """Return the value as ``number`` does, but accept neither a string nor true or false."""
        if isinstance(self.value, (str, bool)):
            raise self.error(_describe_range(minimum))
        return self.number(minimum)

    def number_or_zero(self, minimum: float) -> float:
        """Return the value as a number that is 0, or from ``minimum`` to ``MAX_NUMBER``."""
        return 0.0 if self.value == 0 and self.value is not False else self.number(minimum)

    def positive_number(self) -> float:
        """Return the value, which must be a JSON number, as a number above 0."""
        number = self.json_number()
        if number <= 0.0:
            raise self.error("a number above 0")
        return number

    def finite_number(self) -> float:
        """Return the value as a number of any sign that is neither infinite nor NaN."""
        expected = "a number"
        number = self.convert(expected, lambda value: float(cast("_Convertible", value)))
        if not math.isfinite(number):
            raise self.error(expected)
        return number

    def integer(self) -> int:
        """Return the value as an integer; a fractional part is truncated."""
        return self.convert("an integer", lambda value: int(cast("_Convertible", value)))

    def positive_number_or_none(self) -> float | None:
        """Return the value if it is a positive finite number, else None."""
        return self.convert(f"a number up to {MAX_NUMBER:g}", positive_or_none)

    def member_of(self, members: type[EnumT]) -> EnumT:
        """Return the enum member with this value."""
        try:
            return members(self.value)
        except ValueError:
            raise self.error(describe_choices(member.value for member in members)) from None

    def value_in(self, choices: Mapping[str, ParsedT]) -> ParsedT:
        """Return the choice that has this value as its key."""
        if not isinstance(self.value, str) or self.value not in choices:
            raise self.error(describe_choices(choices))
        return choices[self.value]


@dataclass(frozen=True, slots=True)
class ConfigSection:
    """One JSON object of a configuration and its location."""

    values: Mapping[str, object]
    source: str = ""  # path of the file; empty if unknown
    key_path: str = ""  # path of keys to this object; empty for the whole file

    def has(self, key: str) -> bool:
        """Return whether the key is present with a value that is not null, false, 0 or empty."""
        return bool(self.values.get(key))

    def required(self, key: str) -> ConfigValue:
        """Return the value of a key.

        Raises:
            ConfigurationError: The key is missing.
        """
        self.check_present(key)
        return self.optional(key, None)

    def check_present(self, key: str) -> None:
        """Check that a key is present, with any value.

        Raises:
            ConfigurationError: The key is missing.
        """
        if key not in self.values:
            problem = f'missing required key "{key}"'
            raise ConfigurationError(problem, source=self.source, key_path=self.key_path)

    def optional(self, key: str, default: object) -> ConfigValue:
        """Return the value of a key, or the default if the key is missing."""
        key_path = f"{self.key_path}.{key}" if self.key_path else key
        return ConfigValue(self.values.get(key, default), self.source, key_path)

    def optional_section(self, key: str) -> ConfigSection:
        """Return the object of a key, or an empty object if the key is missing."""
        return self.optional(key, {}).section()

    def number(self, key: str, default: float = 0.0, minimum: float = 0.0) -> float:
        """Return the number of a key, from ``minimum`` to ``MAX_NUMBER``, or the default if it is missing."""
        return self.optional(key, default).number(minimum)

    def number_unless_empty(self, key: str, default: float = 0.0) -> float:
        """Return the number of a key, or the default if the key is missing, null, 0 or empty."""
        return self.required(key).number() if self.has(key) else float(default)

    def flag(self, key: str) -> bool:
        """Return the value of a key, which must be true or false; false if the key is missing or null."""
        value = self.optional(key, None)
        if value.value is not None and not isinstance(value.value, bool):
            raise value.error("true or false")
        return bool(value.value)

    def string(self, key: str) -> str:
        """Return the value of a key as a string; empty if the key is missing."""
        return str(self.values.get(key, ""))

    def required_string(self, key: str) -> str:
        """Return the value of a required key as a string, which must not be empty."""
        value = self.required(key)
        if value.value in (None, ""):
            raise value.error("a text that is not empty")
        return str(value.value)

    def strings(self, key: str) -> tuple[str, ...]:
        """Return the entries of the list of a key as strings; empty if the key is missing."""
        return tuple(str(entry.value) for entry in self.optional(key, ()).entries())


def _describe_range(minimum: float) -> str:
    return f"a number from {minimum:g} to {MAX_NUMBER:g}"


def describe_choices(choices: Iterable[object]) -> str:
    """Return the list of valid choices for an error message, for example ``one of "a", "b"``."""
    return "one of " + ", ".join(describe_value(choice) for choice in choices)
