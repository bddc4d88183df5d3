"""The lock of the folder that outlasts the process: whoever holds it may write there."""

import errno
import fcntl
import os
from pathlib import Path

FILE_NAME = "owner"
NOT_HELD = -1  # in place of a descriptor
HELD_ELSEWHERE = (errno.EAGAIN, errno.EACCES)


class FolderLock:
    """One process's hold on a folder: an open descriptor, which ends with the process and can be passed on.

    Attributes:
        folder: The folder that is locked.
        fd: The descriptor that holds the lock, or `NOT_HELD`.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.fd = NOT_HELD

    def acquire(self) -> bool:
        """Try to lock the folder, without waiting; return whether this process owns it now.

        Raises:
            OSError: Whether it is free can't be found out.
        """
        fd = os.open(Path(self.folder) / FILE_NAME, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            if error.errno in HELD_ELSEWHERE:
                return False
            raise
        self.adopt_descriptor(fd)
        return True

    def adopt_descriptor(self, fd: int) -> None:
        """Hold the lock by a descriptor that another process has passed on."""
        self.release()
        self.fd = fd

    def release(self) -> None:
        """Hold it no longer; another process that was passed the descriptor still does."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = NOT_HELD
