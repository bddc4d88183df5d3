"""Runs delivery policies for the simulator: `python -m pinspread.simhost`. It makes no decisions itself."""

import sys
from typing import BinaryIO

from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import Event
from pinspread.simulator_wire import encoder
from pinspread.simulator_wire.decoder import Decoder, Start, Stop
from pinspread.simulator_wire.protocol import BATCH_HEADER, MAX_BATCH_BYTES, WireError


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    """Read `size` bytes; WireError if the input ends before that."""
    return _complete(stream.read(size), size, what)


def _complete(data: bytes, size: int, what: str) -> bytes:
    if len(data) < size:
        raise WireError(f"input ended inside {what}: {len(data)} of {size} bytes")
    return data


class Host:
    """The simulated instances that this process runs, each with its own policy."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._policies: dict[int, DeliveryPolicy] = {}

    def answer(self, now_ns: int, count: int, payload: bytes) -> bytes:
        """Decode one batch, let each instance's policy handle its events, and return the encoded reply."""
        turns = self._turns(count, payload)
        records: list[bytes] = []
        for instance, events in turns.items():
            actions = self._actions(instance, now_ns, events)
            if actions:
                records.append(encoder.source(instance))
                records += actions
        return encoder.reply(records)

    def _turns(self, count: int, payload: bytes) -> dict[int, list[Event]]:
        """The events of each instance, in order; starts and stops of instances are carried out here."""
        turns: dict[int, list[Event]] = {}
        for instance, event in self._decoder.batch(count, payload):
            if isinstance(event, Start):
                self._policies[instance] = DeliveryPolicy(event.settings, event.seed)
                turns[instance] = []
            elif isinstance(event, Stop):
                self._policies.pop(instance, None)
                turns.pop(instance, None)
            elif instance not in self._policies:
                raise WireError(f"instance {instance} was never configured")
            else:
                turns.setdefault(instance, []).append(event)
        return turns

    def _actions(self, instance: int, now_ns: int, events: list[Event]) -> list[bytes]:
        """The records of an instance's actions; an exception becomes a record, and other instances go on."""
        try:
            return [encoder.encode(action) for action in self._policies[instance].handle(now_ns, events)]
        except Exception as error:
            return [encoder.fault(f"{type(error).__name__}: {error}")]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; WireError on malformed input."""
    host = Host()
    frame = 0
    while header := source.read(BATCH_HEADER.size):
        header = _complete(header, BATCH_HEADER.size, f"the header of frame {frame}")
        count, size, now_ns = BATCH_HEADER.unpack(header)
        if size > MAX_BATCH_BYTES or count > size:
            raise WireError(f"frame {frame}: {count} records in {size} bytes cannot be")
        payload = read_exactly(source, size, f"frame {frame}")
        try:
            reply = host.answer(now_ns, count, payload)
        except ValueError as error:
            raise WireError(f"frame {frame}: {error}") from None
        sink.write(reply)
        sink.flush()
        frame += 1


def main() -> int:
    """Serve on standard input and output; on malformed input, print one line and return non-zero."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"pinspread: {error}", file=sys.stderr)
        return 1
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
