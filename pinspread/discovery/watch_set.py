"""The watches of one client: the one that is followed, and those that are to take its place. No I/O."""

from pinspread.discovery.watch import Watch


class WatchSet:
    """Which watches there are, by how far they have come.

    Attributes:
        current: The watch whose changes are applied; None if there is none.
        opening: Watches whose response has not begun.
        starting: Watches whose response has begun, but has no complete line yet.
    """

    def __init__(self) -> None:
        self.current: Watch | None = None
        self.opening: list[Watch] = []
        self.starting: list[Watch] = []

    @property
    def unproven(self) -> list[Watch]:
        """The watches that have not sent a complete line."""
        return self.opening + self.starting

    def is_read(self, watch: Watch) -> bool:
        """Return whether what the watch sends is still to be read; no other has taken its place."""
        return watch is self.current or watch in self.starting

    def begin(self, watch: Watch, now_us: int) -> None:
        """Note that the response of a watch has begun."""
        self.opening.remove(watch)
        self.starting.append(watch)
        watch.up, watch.began_us = True, now_us

    def promote(self, watch: Watch, address: str) -> None:
        """Follow a watch that has sent a complete line, and end the watches that it replaces.

        The old watch is ended only now: if it were closed earlier, drains would go unnoticed in between. That
        the response has begun is not enough: a discovery service that is slow may need longer for the line
        than another watch is waited for, and each would end the one before it.

        Args:
            watch: The watch.
            address: The address of discovery; watches there are not replaced by one at an old address.
        """
        self.starting.remove(watch)
        previous, self.current = self.current, watch
        if previous is not None:
            previous.scope.cancel()
        self._end([other for other in self.unproven if watch.address in (address, other.address)])

    def end_unproven(self) -> None:
        """End all watches that have not sent a complete line."""
        self._end(self.unproven)

    def _end(self, watches: list[Watch]) -> None:
        self.opening = [watch for watch in self.opening if watch not in watches]
        self.starting = [watch for watch in self.starting if watch not in watches]
        for watch in watches:
            watch.scope.cancel()

    def remove(self, watch: Watch) -> None:
        """Forget a watch that has ended."""
        self.opening = [other for other in self.opening if other is not watch]
        self.starting = [other for other in self.starting if other is not watch]
        if self.current is watch:
            self.current = None
