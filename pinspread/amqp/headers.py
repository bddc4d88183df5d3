"""Names of the headers and properties that messages have on AMQP, as the operators' pages give them."""

CLASS = "class"
TENANT = "tenant"
KEY = "key"
DESTINATION = "dest"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER_MS = "after-ms"  # on a rejected message: when it may be published again, in milliseconds
ATTEMPT = "attempt"  # on what goes to a broker: the attempt's number

# Properties, as errors name them.
MESSAGE_ID = "message-id"
EXPIRATION = "expiration"
REPLY_TO = "reply-to"
