"""Replication of each node's journal to other nodes; loaded only if the `[copies]` table configures it.

The terms:

- A node's *work* is what its journal holds: the messages that it accepted and that have not ended. The node
  is the *owner* of its work and of its journal. It may act on them only while it holds the lease of its work.
- A record of the journal is *committed* once enough replicas have acknowledged it. Only then does the engine
  rely on it: it confirms a message to its client, sends an attempt or sends a notification. With
  `allow_unreplicated` it also goes on if too few replicas acknowledge in time.
- If an owner is lost, another node *takes over* its work. It becomes the owner's *successor*.

Decisions, with no I/O and no clock:

- `log`: the primary's journal and what each replica has acknowledged.
- `replica`: what a replica holds and who may append.
- `snapshots`: which replica is the newest, and whether enough nodes have answered.
- `placement`: which nodes store whose journal.

On the network and on the disk:

- `service`: assembles all parts; the interface to the engine and the process.
- `primary`, `transfer`: send this node's journal and wait for acknowledgements.
- `replica_server`, `store`, `retention`: store replicas of other nodes' journals, and remove those that are
  not needed any more.
- `recovery`: restores this node's journal at a start.
- `failover`, `takeover`: take over the work of lost nodes.
- `peers`, `survey`, `protocol`: requests to other nodes; their form on the wire.
- `fleet`, `ownership`, `journal_bytes`, `clock`, `events`: what replication uses of other packages.
- `config`, `status`, `node`: settings, what operators are shown, what the parts share.
"""
