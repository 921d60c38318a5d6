"""Entry point of ``python -m cedarthread``."""

import sys

from cedarthread.cli import main

sys.exit(main())
