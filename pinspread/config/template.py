"""The template of a new application's file."""


def template(name: str) -> str:
    """The text of a new application's file, which is valid as it is."""
    return f'''# The node of the application "{name}". Check it with: python -m pinspread config check FILE

[application]
name = "{name}"

[listen]                       # at least one; the AMQP front is off without an address
resp = "127.0.0.1:6379"
amqp = "127.0.0.1:5672"
admin = "127.0.0.1:9600"       # the admin server: readiness, endpoints disabled and enabled
heartbeat_s = 30

[notices]                      # where final results of RESP2 messages are sent
address = "127.0.0.1:8500"

[journal]
folder = "state"               # must last; old and new file together stay under disk_mb
disk_mb = 3

[limits]
calls_out = 16                 # attempts in flight at once
most_held = 200                # messages held, sent or not
max_attempts = 6
couriers = 1                   # nodes that serve the same destinations

[discovery]                    # endpoints by DNS-SD: either a zone file or a server
domain = "partners.example."
zone_file = "partners.zone"
refresh_s = 5

[brokers]                      # how to log in where an endpoint is an AMQP broker
user = "guest"                 # password_file = "..." names a file whose first line is the password

[[class]]
name = "booking-change"
aim_s = 3
deadline_s = 24
effect = "by_key"              # repeatable, by_key or once
window_s = 25                  # for how long a repeat is dropped
in_order = true                # one at a time for each key
worth = 1

[[class]]
name = "status-update"
aim_s = 4
deadline_s = 16
effect = "repeatable"
worth = 2

[[class]]
name = "payment"
aim_s = 2
deadline_s = 20
effect = "once"
worth = 5
late_share = 0.3

[[tenant]]
name = "all"
share = 1.0
quota_per_s = 30.0
'''
