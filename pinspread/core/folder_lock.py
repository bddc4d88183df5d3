"""The lock of the folder that lasts: whoever holds it may write there. It ends with the process."""

import errno
import fcntl
import os
from pathlib import Path

NAME = "owner"
BUSY = (errno.EAGAIN, errno.EACCES)


class FolderLock:
    """One process's hold on a folder; the open descriptor is the lock, and can be passed on."""

    def __init__(self, folder: str):
        self.folder = folder
        self.fd = -1

    def acquire(self) -> bool:
        """Whether this process owns the folder now; OSError if it can't be told."""
        fd = os.open(Path(self.folder) / NAME, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            if error.errno in BUSY:
                return False
            raise
        self.adopt_descriptor(fd)
        return True

    def adopt_descriptor(self, fd: int):
        """Hold the lock by a descriptor that the process before has passed on."""
        self.release()
        self.fd = fd

    def release(self):
        """Hold it no longer; another process that was passed the descriptor still does."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
