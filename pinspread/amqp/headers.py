"""Names of the headers and properties of messages on AMQP, as the operators' pages document them."""

CLASS = "class"
TENANT = "tenant"
KEY = "key"
DESTINATION = "dest"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER_MS = "after-ms"  # on a rejected message: when it may be published again, in milliseconds
ATTEMPT = "attempt"  # on a message published to a broker: the number of the attempt

# Properties, as error messages name them.
MESSAGE_ID = "message-id"
EXPIRATION = "expiration"
REPLY_TO = "reply-to"
