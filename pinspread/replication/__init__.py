"""Replication of each node's journal to others; loaded only where a file turns it on.

Decisions, with no I/O and no clock:

- `log`: the primary's journal and what each replica has acknowledged.
- `replica`: what a replica holds and who may append.
- `snapshots`: which replica is the newest, and whether all that matters has answered.
- `placement`: which nodes store whose journal.

On the network and on the disk:

- `service`: assembles all parts; what the engine and the process see.
- `primary`, `transfer`: send this node's journal and wait for acknowledgements.
- `replica_server`, `store`, `retention`: store others' journals, and remove what is not needed any more.
- `recovery`: restores this node's journal at a start.
- `failover`, `takeover`: take a lost node's work over.
- `peers`, `survey`, `protocol`: questions to other nodes; the form on the wire.
- `fleet`, `ownership`, `journal_bytes`, `clock`, `events`: what replication uses of other packages.
- `config`, `status`, `node`: settings, what operators are shown, what the parts share.
"""
