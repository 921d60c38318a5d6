"""The checks for missing keys, at startup and on a reload; ``config_keys`` is the table that they go by.

Both checks are made before any value of a file is applied, so that a file is accepted or rejected as a whole.
The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.config_keys import CONFIG_SECTIONS, LIST_SUFFIX, SETTINGS_KEY, SETTINGS_SECTIONS
from cedarthread.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarthread.config_keys import SectionKeys
    from cedarthread.config_section import ConfigSection

_GONE_STATUS = "gone"  # status of a worker of which nothing but its name is used


@dataclass(frozen=True, slots=True)
class SectionInventory:
    """The persistent keys of one section of a file, or of all entries of a list without names."""

    path: str  # as in ``SectionKeys``
    entry_name: str  # name of a list's entry; empty if it has none
    key_path: str  # location of the section or list in its file
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeyInventory:
    """The persistent keys that a file has, by section."""

    source: str = ""  # path of the file; empty if unknown
    sections: tuple[SectionInventory, ...] = ()

    def expected_keys(self, path: str, entry_name: str) -> frozenset[str]:
        """Return the keys that a section of a later file must have.

        An entry that this file does not have, such as a new class, must have the keys that all entries of
        its list have.
        """
        keys_by_entry = {
            section.entry_name: frozenset(section.keys) for section in self.sections if section.path == path
        }
        if entry_name in keys_by_entry:
            return keys_by_entry[entry_name]
        return frozenset.intersection(*keys_by_entry.values()) if keys_by_entry else frozenset()


def check_required_keys(root: ConfigSection, sections: tuple[SectionKeys, ...]) -> None:
    """Check that no section lacks a key that every file must have.

    Args:
        root: The whole object.
        sections: Its known keys, for example ``SETTINGS_SECTIONS``.

    Raises:
        ConfigurationError: A key is missing; the message names the section and the key.
    """
    for known in sections:
        for _, section in _sections_at(root, known.path):
            conditional = [
                key
                for condition in known.conditional
                if condition.apply_to(section, root)
                for key in condition.keys
            ]
            for key in (*known.required, *conditional):
                section.check_present(key)


def take_inventory(document: ConfigSection) -> KeyInventory:
    """Return the keys that a file has; a key with the value null or "" counts as missing."""
    settings = document.required(SETTINGS_KEY).section()
    return KeyInventory(
        document.source,
        (
            *_inventory_sections(document, CONFIG_SECTIONS, ""),
            *_inventory_sections(settings, SETTINGS_SECTIONS, SETTINGS_KEY),
        ),
    )


def check_replacement(new: KeyInventory, in_force: KeyInventory) -> None:
    """Check that a new file has every persistent key of the file in force.

    Raises:
        ConfigurationError: A key is missing; the message names the section and the key.
    """
    for section in new.sections:
        missing = in_force.expected_keys(section.path, section.entry_name).difference(section.keys)
        if missing:
            problem = f'missing key "{min(missing)}", which the configuration in force has'
            raise ConfigurationError(problem, source=new.source, key_path=section.key_path)


def _inventory_sections(
    root: ConfigSection, known_sections: tuple[SectionKeys, ...], path_prefix: str
) -> Iterator[SectionInventory]:
    for known in known_sections:
        path = f"{path_prefix}.{known.path}".strip(".")
        sections = list(_sections_at(root, known.path)) if known.persistent else []
        if known.has_names:
            for entry_name, section in sections:
                yield SectionInventory(path, entry_name, section.key_path, _present_keys(known, [section]))
        elif listed := [section for _, section in sections if section.values.get("status") != _GONE_STATUS]:
            key_path = listed[0].key_path if len(listed) == 1 else path
            yield SectionInventory(path, "", key_path, _present_keys(known, listed))


def _present_keys(known: SectionKeys, sections: list[ConfigSection]) -> tuple[str, ...]:
    """Return the persistent keys that all sections have; null and "" count as missing."""
    return tuple(
        key
        for key in known.persistent
        if all(section.values.get(key) not in (None, "") for section in sections)
    )


def _sections_at(root: ConfigSection, path: str) -> Iterator[tuple[str, ConfigSection]]:
    """Yield each section at a path, with its name if it is the entry of a list.

    A value that is not an object is skipped, because the parser reports it.
    """
    sections = [("", root)]
    for part in path.split(".") if path else ():
        sections = [found for _, section in sections for found in _sections_of_key(section, part)]
    yield from sections


def _sections_of_key(section: ConfigSection, part: str) -> Iterator[tuple[str, ConfigSection]]:
    """Yield the section of a key, or the sections in its list if the key ends with ``[]``."""
    value = section.optional(part.removesuffix(LIST_SUFFIX), None)
    if not part.endswith(LIST_SUFFIX):
        if isinstance(value.value, Mapping):
            yield "", value.section()
    elif isinstance(value.value, (list, tuple)):
        for entry in value.entries():
            if isinstance(entry.value, Mapping):
                yield str(entry.value.get("name", "")), entry.section()
