"""Hot restart: a new process takes clients, connections and messages over from the one before.

`core/handover.py` decides who owns the messages at each moment; this package carries that out on a local
socket: `source.py` is the old process's side, `target.py` the new one's, `link.py` the packets between them,
`packet_codec.py` and `state_codec.py` what the packets hold. Nothing here is imported unless the platform
passes a listening socket.
"""
