"""References from pages to pages and source files, and from the source to pages."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Pages about an earlier state of the code, which may name files that no longer exist.
HISTORY = ("docs/results/", "docs/incidents/", "docs/ROADMAP.md", "CHANGELOG.md")
PAGES = sorted(
    path
    for path in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
    if not path.relative_to(ROOT).as_posix().startswith(HISTORY)
)
SOURCES = sorted([*(ROOT / "cedarthread").rglob("*.py"), *(ROOT / "tests").rglob("*.py")])

LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")
CODE_PATH = re.compile(r"`((?:[a-z_]+/)*[a-z_]+\.py)`")
PAGE_PATH = re.compile(r"\bdocs/[\w/-]+\.md\b")


def _page_id(path: Path) -> str:
    return path.relative_to(ROOT).as_posix()


@pytest.mark.parametrize("page", PAGES, ids=_page_id)
def test_every_link_of_a_page_leads_to_a_file(page: Path) -> None:
    links = LINK.findall(page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []


@pytest.mark.parametrize("page", PAGES, ids=_page_id)
def test_every_source_file_that_a_page_names_exists(page: Path) -> None:
    known_files = {path.relative_to(ROOT).as_posix() for path in SOURCES}
    named = CODE_PATH.findall(page.read_text())
    missing = [name for name in named if not any(f"/{path}".endswith(f"/{name}") for path in known_files)]
    assert missing == []


def test_every_page_that_the_source_names_exists() -> None:
    missing = [
        f"{_page_id(source)}: {name}"
        for source in SOURCES
        for name in PAGE_PATH.findall(source.read_text())
        if not (ROOT / name).is_file()
    ]
    assert missing == []
