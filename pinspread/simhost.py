"""Hosts senders on the simulator's wire: `python -m pinspread.simhost`. No decisions."""

import sys

from pinspread import wire
from pinspread.policy.delivery_policy import DeliveryPolicy


def read_exactly(stream, size, what, may_end=False):
    """Read `size` bytes; None at a clean end of input where that is allowed."""
    data = stream.read(size)
    if not data and may_end:
        return None
    if len(data) < size:
        raise wire.WireError(f"input ended inside {what}: {len(data)} of {size} bytes")
    return data


class Host:
    """The instances of this process, each a sender of its own."""

    def __init__(self):
        self._decoder = wire.Decoder()
        self._senders = {}

    def answer(self, now_ns, count, payload):
        """Decode one batch, let each instance decide on its events, and give the reply."""
        turns = {}
        records = []
        for instance, event in self._decoder.batch(count, payload):
            if type(event) is wire.Start:
                self._senders[instance] = DeliveryPolicy(event.settings, event.seed)
                turns[instance] = []
            elif type(event) is wire.Stop:
                self._senders.pop(instance, None)
                turns.pop(instance, None)
            elif instance not in self._senders:
                raise wire.WireError(f"instance {instance} was never configured")
            else:
                turns.setdefault(instance, []).append(event)
        for instance, events in turns.items():
            try:
                actions = [wire.encode(a) for a in self._senders[instance].handle(now_ns, events)]
            except Exception as error:
                actions = [wire.fault(f"{type(error).__name__}: {error}")]
            if actions:
                records.append(wire.source(instance))
                records += actions
        return wire.reply(records)


def serve(source, sink):
    """Answer batch after batch until the input ends."""
    host = Host()
    frame = 0
    while (
        header := read_exactly(source, wire.BATCH_HEADER.size, f"the header of frame {frame}", True)
    ) is not None:
        count, size, now_ns = wire.BATCH_HEADER.unpack(header)
        if size > wire.FIRST_FRAME_LIMIT or count > size:
            raise wire.WireError(f"frame {frame}: {count} records in {size} bytes cannot be")
        payload = read_exactly(source, size, f"frame {frame}")
        try:
            reply = host.answer(now_ns, count, payload)
        except ValueError as error:
            raise wire.WireError(f"frame {frame}: {error}") from None
        sink.write(reply)
        sink.flush()
        frame += 1


def main():
    """Serve standard input and output; plain words and a non-zero exit on bad input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"pinspread: {error}", file=sys.stderr)
        return 1
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
