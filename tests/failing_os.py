"""A stand-in for the module `os` whose calls fail for a while, drawn from a seed."""

import errno
import os
import random

FAILING = ("write", "pwrite", "ftruncate", "fdatasync", "fsync", "rename", "replace", "open", "close")


class FailingOs:
    """The module `os`, whose listed calls fail while `failing` is set, some after half of a write."""

    def __init__(self, calls, seed=1, share=1.0):
        self.calls, self.failing, self.share, self.random = set(calls), False, share, random.Random(seed)

    def __getattr__(self, name):
        call = getattr(os, name)
        if name not in FAILING:
            return call

        def maybe_failing(*arguments):
            if not self.failing or name not in self.calls:
                return call(*arguments)
            if self.share < 1 and self.random.random() >= self.share:
                return call(*arguments)
            if name in ("write", "pwrite") and self.random.random() < 0.5:
                fd, data, *offset = arguments
                return call(fd, data[: len(data) // 2], *offset)
            if name == "close":
                call(*arguments)
            raise OSError(self.random.choice((errno.ENOSPC, errno.EIO)), "injected")

        return maybe_failing
