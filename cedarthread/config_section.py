"""One JSON object of a configuration, read key by key; each error names file, key path, found and wanted.

The conversions accept what Python's own ``float``, ``int`` and ``str`` accept, so that a number may also be
written as a text. Keys that nothing reads are ignored.
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

MAX_QUOTED_CHARACTERS = 80  # of a value that an error quotes

# What the conversions of a value raise where the value is of the wrong type or out of range.
_CONVERSION_ERRORS = (TypeError, ValueError, ArithmeticError)


class _Convertible(Protocol):
    """A value that ``float`` or ``int`` may accept; both raise ``TypeError`` where they do not."""

    def __float__(self) -> float: ...

    def __int__(self) -> int: ...


def parse_json(raw: bytes, source: str = "", key_path: str = "") -> object:
    """Return the value of a JSON text.

    Args:
        raw: The text.
        source: The file, for errors.
        key_path: The key that the text is the value of, for errors.

    Raises:
        ConfigurationError: The text is not JSON.
    """
    try:
        return cast("object", json.loads(raw))
    except json.JSONDecodeError as error:
        problem = f"not valid JSON: {error.msg} (line {error.lineno}, column {error.colno})"
    except UnicodeDecodeError as error:
        problem = f"not valid JSON: byte {error.start} is not part of a {error.encoding} text"
    except RecursionError:
        problem = "not usable: lists or objects are nested too deeply"
    except ValueError:  # Python bounds the digits of an integer
        problem = "not usable: a number has too many digits"
    raise ConfigurationError(problem, source=source, key_path=key_path)


def describe_value(value: object) -> str:
    """Return a value as JSON, shortened, for an error that says what was found."""
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
        written = json.dumps(value)
        return written if len(written) <= MAX_QUOTED_CHARACTERS else f"a number of {len(written)} digits"
    return "a value that JSON does not have"


@dataclass(frozen=True, slots=True)
class ConfigValue:
    """One value of a configuration and its place."""

    value: object
    source: str  # the file; empty where the caller does not know the file
    key_path: str  # ``settings.classes[0].deadline``; empty for the whole file

    def error(self, wanted: str) -> ConfigurationError:
        """Return the error that this value is not what is wanted: "a number above 0"."""
        problem = f"must be {wanted}, found {describe_value(self.value)}"
        return ConfigurationError(problem, source=self.source, key_path=self.key_path)

    def convert(self, wanted: str, conversion: Callable[[object], ParsedT]) -> ParsedT:
        """Return the converted value.

        Raises:
            ConfigurationError: The conversion raises an error for this value.
        """
        try:
            return conversion(self.value)
        except _CONVERSION_ERRORS:
            raise self.error(wanted) from None

    def section(self) -> ConfigSection:
        """Return the value as an object with keys."""
        if not isinstance(self.value, Mapping):
            raise self.error("an object")
        return ConfigSection(self.value, self.source, self.key_path)

    def entries(self) -> Iterator[ConfigValue]:
        """Yield the entries of the value, which is a list."""
        if not isinstance(self.value, Iterable):
            raise self.error("a list")
        for index, entry in enumerate(self.value):
            yield ConfigValue(entry, self.source, f"{self.key_path}[{index}]")

    def number(self, minimum: float = 0.0) -> float:
        """Return the value as a number from ``minimum`` to ``MAX_NUMBER``."""
        return self.convert(
            f"a number from {minimum:g} to {MAX_NUMBER:g}",
            lambda value: bounded_number(cast("float", value), minimum),
        )

    def positive_number(self) -> float:
        """Return the value as a number above 0."""
        number = self.number()
        if number <= 0.0:
            raise self.error("a number above 0")
        return number

    def finite_number(self) -> float:
        """Return the value as a number of either sign that is neither infinite nor NaN."""
        wanted = "a number"
        number = self.convert(wanted, lambda value: float(cast("_Convertible", value)))
        if not math.isfinite(number):
            raise self.error(wanted)
        return number

    def integer(self) -> int:
        """Return the value as an integer; a fraction is dropped."""
        return self.convert("an integer", lambda value: int(cast("_Convertible", value)))

    def positive_number_or_none(self) -> float | None:
        """Return the value if it is a positive finite number, else None."""
        return self.convert(f"a number up to {MAX_NUMBER:g}", positive_or_none)

    def member_of(self, members: type[EnumT]) -> EnumT:
        """Return the member of an enumeration that has this value."""
        try:
            return members(self.value)
        except ValueError:
            raise self.error(one_of(member.value for member in members)) from None

    def value_in(self, choices: Mapping[str, ParsedT]) -> ParsedT:
        """Return what the choices have under this value."""
        if not isinstance(self.value, str) or self.value not in choices:
            raise self.error(one_of(choices))
        return choices[self.value]


@dataclass(frozen=True, slots=True)
class ConfigSection:
    """One JSON object of a configuration and its place."""

    values: Mapping[str, object]
    source: str = ""  # the file; empty where the caller does not know the file
    key_path: str = ""  # the key of this object, with the keys above it; empty for the whole file

    def has(self, key: str) -> bool:
        """Return whether the key is there with a value other than null, false, 0 or an empty one."""
        return bool(self.values.get(key))

    def required(self, key: str) -> ConfigValue:
        """Return the value of a key.

        Raises:
            ConfigurationError: The key is missing.
        """
        if key not in self.values:
            problem = f'missing required key "{key}"'
            raise ConfigurationError(problem, source=self.source, key_path=self.key_path)
        return self.optional(key, None)

    def optional(self, key: str, default: object) -> ConfigValue:
        """Return the value of a key, or the default where the key is missing."""
        key_path = f"{self.key_path}.{key}" if self.key_path else key
        return ConfigValue(self.values.get(key, default), self.source, key_path)

    def optional_section(self, key: str) -> ConfigSection:
        """Return the object under a key; an empty one where the key is missing."""
        return self.optional(key, {}).section()

    def number(self, key: str, default: float = 0.0, minimum: float = 0.0) -> float:
        """Return the number under a key from ``minimum`` to ``MAX_NUMBER``, or the default."""
        return self.optional(key, default).number(minimum)

    def number_unless_empty(self, key: str, default: float = 0.0, minimum: float = 0.0) -> float:
        """Return the number under a key; the default where the key is missing, null, 0 or empty."""
        return self.required(key).number(minimum) if self.has(key) else float(default)

    def flag(self, key: str) -> bool:
        """Return the truth of the value under a key; false where the key is missing."""
        return self.has(key)

    def text(self, key: str) -> str:
        """Return the value under a key as a text; an empty text where the key is missing."""
        return str(self.values.get(key, ""))

    def required_text(self, key: str) -> str:
        """Return the value under a key that must be there, as a text."""
        return str(self.required(key).value)

    def texts(self, key: str) -> tuple[str, ...]:
        """Return the entries of the list under a key as texts; none where the key is missing."""
        return tuple(str(entry.value) for entry in self.optional(key, ()).entries())


def one_of(choices: Iterable[object]) -> str:
    """Return the words that name the choices of a value: ``one of "a", "b"``."""
    return "one of " + ", ".join(describe_value(choice) for choice in choices)
