"""The folder for files that the processes of one address share: private to this user, in ``$TMPDIR``."""

from __future__ import annotations

import os
import stat
import tempfile
from pathlib import Path

_GROUP_AND_OTHERS = stat.S_IRWXG | stat.S_IRWXO


def private_temporary_folder() -> Path:
    """Return the folder, which is created if there is none.

    Raises:
        OSError: The folder cannot be created, or others can access it. The message names it.
    """
    folder = Path(tempfile.gettempdir()) / f"cedarthread-{os.geteuid()}"
    folder.mkdir(mode=stat.S_IRWXU, exist_ok=True)
    status = folder.lstat()
    is_private = status.st_uid == os.geteuid() and not status.st_mode & _GROUP_AND_OTHERS
    if not (stat.S_ISDIR(status.st_mode) and is_private):
        raise PermissionError(f"{folder}: must be a folder that only its owner can access")
    return folder


def address_name(host: str, port: int) -> str:
    """Return a listen address as a part of a file name."""
    return f"{host.replace(':', '_')}-{port}"
