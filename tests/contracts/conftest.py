"""Registration of helper modules with pytest, so that their failed assertions show the compared values."""

from __future__ import annotations

import pytest

pytest.register_assert_rewrite("tests.contracts.store_fixtures", "tests.contracts.store_rules")
