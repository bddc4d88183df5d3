"""Acquiring the state folder at a start: its lock, and what must be known before the journal is read."""

import anyio

from pinspread.service.components import Components

LOCK_TIMEOUT_S = 5.0  # how long a start waits for another process to release the folder
LOCK_RETRY_S = 0.02


async def acquire_folder(components: Components, folder: str, leaving: anyio.Event) -> bool:
    """Acquire the folder and prepare its recovery; return false if `leaving` is set meanwhile.

    On false, this process may not own the folder, and must not write to it.

    Raises:
        OSError: Another process still owned the folder after `LOCK_TIMEOUT_S`.
    """
    await _acquire_lock(components, folder, leaving)
    if components.background_services and not leaving.is_set():
        await _prepare_recovery(components, leaving)
    return not leaving.is_set()


async def _acquire_lock(components: Components, folder: str, leaving: anyio.Event) -> None:
    # A process that is ending may still write to the journal; two writers would corrupt it.
    try:
        with anyio.fail_after(LOCK_TIMEOUT_S):
            while not components.lock.acquire() and not leaving.is_set():
                await anyio.sleep(LOCK_RETRY_S)
    except TimeoutError:
        raise OSError(
            f"{folder}: another process still owns it after {LOCK_TIMEOUT_S:g} s; end that first"
        ) from None


async def _prepare_recovery(components: Components, leaving: anyio.Event) -> None:
    """Let background services prepare: they ask other nodes which messages are open. `leaving` cancels it."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on, leaving, tasks.cancel_scope)
        for background in components.background_services:
            await background.before_recovery()
        tasks.cancel_scope.cancel()


async def _cancel_on(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
