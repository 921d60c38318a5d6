"""Entry point of a router with an injected defect.

    python -m cedarthread.testing.hostile.router_entry DEFECT ARGUMENT...

DEFECT is a name of ``cluster/injected_defects.py``. The arguments are those of ``python -m cedarthread``.
"""

from __future__ import annotations

import runpy
import sys

from cedarthread.testing.cluster.injected_defects import inject


def main() -> None:
    """Inject the defect that the first argument names, then run ``cedarthread`` with the others."""
    inject(sys.argv.pop(1))
    runpy.run_module("cedarthread", run_name="__main__")


if __name__ == "__main__":
    main()
