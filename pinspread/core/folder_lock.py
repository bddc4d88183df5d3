"""The lock of the state folder, which outlives the process; only the lock's holder may write there."""

import errno
import fcntl
import os
from pathlib import Path

FILE_NAME = "owner"
NOT_HELD = -1  # value of `fd` while the lock is not held
HELD_ELSEWHERE = (errno.EAGAIN, errno.EACCES)


class FolderLock:
    """A lock on a folder, held by an open descriptor that ends with the process or can be passed to another.

    Attributes:
        folder: The folder that is locked.
        fd: The descriptor that holds the lock, or `NOT_HELD`.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.fd = NOT_HELD

    def acquire(self) -> bool:
        """Try to lock the folder without waiting.

        Returns:
            Whether this process holds the lock now; False if another process holds it.

        Raises:
            OSError: The lock file can't be opened or locked for another reason.
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
        """Hold the lock through a descriptor that another process has passed to this one."""
        self.release()
        self.fd = fd

    def release(self) -> None:
        """Close the descriptor; a process that was passed a copy of it still holds the lock."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = NOT_HELD
