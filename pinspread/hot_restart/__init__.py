"""Hot restart: a new process takes over clients, connections and messages from the process before it.

`core/handover.py` decides who owns the messages at each moment; this package carries that out over a local
socket. `source.py` is the old process's side and `target.py` the new one's; `link.py` sends and receives
packets, and `packet_codec.py` and `state_codec.py` encode their contents. Nothing here is imported unless the
platform passes a listening socket.
"""
