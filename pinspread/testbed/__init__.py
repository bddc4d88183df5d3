"""Two test beds: real couriers as processes on loopback, with faults, and checks of what they did.

The platform's test bed (`platform.play`) plays a scenario of the simulation on real sockets.
`platform_run` holds the state that its parts share. The parts are `endpoint_stand_in`, `platform_stand_in`,
`courier_process` with `platform_configuration`, `client_traffic` and `platform_faults`. `courier_logs` reads
from the couriers' logs what the stand-ins cannot observe.

The cluster's test bed (`cluster.play`) plays a scenario from a file (`cluster_scenario`) with couriers
that are members of one cluster: `member_process` with `member_configuration`, `proxy` between them,
`cluster_faults`, `traffic` and `resource`. Every event goes to one `history`, which `replay`
replays, `history_checker`, `lease_checker` and `ledger` check, and `plot` plots.

Answers that do not belong to their requests come from `faulty_endpoint`. `ledger_clients` and that endpoint
report to a `delivery_ledger`, which judges a courier by what its peers observed.

Both test beds and the tests use the servers and clients of `stand_ins`, `clients` and `loopback`.
"""
