"""Lets failed assertions of the helpers show the values that were compared, as those of tests do."""

from __future__ import annotations

import pytest

pytest.register_assert_rewrite("tests.contracts.store_fixtures", "tests.contracts.store_rules")
