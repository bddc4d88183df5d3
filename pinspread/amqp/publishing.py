"""Publishes from clients: reading the message, submitting it to the engine, confirming or rejecting it."""

from collections.abc import Mapping
from hashlib import blake2b

from pamqp import commands

from pinspread.amqp import headers as names
from pinspread.amqp.channel import DEFAULT_EXCHANGE, Channel
from pinspread.amqp.content import ReceivedMethod
from pinspread.amqp.errors import AmqpError, ReplyCode
from pinspread.amqp.frame_writer import FrameWriter
from pinspread.core import message_fields
from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.core.message_fields import (
    MAX_BODY_BYTES,
    MAX_DEADLINE_MS,
    MAX_DESTINATION,
    InvalidFieldError,
    parse_identifier,
    parse_number,
)
from pinspread.core.messages import Message
from pinspread.core.time_units import NS_PER_MS, US_PER_MS
from pinspread.errors import RejectedError
from pinspread.sockets import Connection

FRONT_NAME = "amqp"  # the name of this front in the journal and the log
KEY_BYTES = 8


def parse_key(text: str) -> int:
    """Parse an ordering key; 0 means no key.

    A hexadecimal key has the same value on all fronts; any other text is hashed.
    """
    try:
        return message_fields.parse_key(text.encode())
    except InvalidFieldError:
        return int.from_bytes(blake2b(text.encode(), digest_size=KEY_BYTES).digest()) or 1


def _text(headers: Mapping[str, object], name: str) -> str:
    """Return a header as text; empty if it is missing."""
    return str(headers.get(name) or "")


def read_message(
    engine: DeliveryEngine, method: commands.Basic.Publish, properties: commands.Basic.Properties, body: bytes
) -> Message:
    """Build the message of a publish from its properties, headers and body.

    Raises:
        AmqpError: A property or header is missing or malformed, or a class, tenant or destination unknown.
    """
    try:
        return _read_message(engine, properties, body)
    except InvalidFieldError as error:
        raise AmqpError(ReplyCode.PRECONDITION_FAILED, str(error), method) from None


def _read_message(engine: DeliveryEngine, properties: commands.Basic.Properties, body: bytes) -> Message:
    headers = properties.headers or {}
    class_name = _text(headers, names.CLASS)
    tenant = _text(headers, names.TENANT)
    destination_text = str(headers.get(names.DESTINATION)) if headers else ""
    destination = parse_number(destination_text, names.DESTINATION, MAX_DESTINATION)
    unknown = engine.unknown_reason(class_name, tenant, destination)
    if unknown:
        raise InvalidFieldError(unknown)
    message_id = parse_identifier(str(properties.message_id or "").encode(), names.MESSAGE_ID)
    if not properties.reply_to:
        raise InvalidFieldError(f"{names.REPLY_TO} is missing")
    idempotency_key = _text(headers, names.IDEMPOTENCY_KEY)
    if idempotency_key:
        parse_identifier(idempotency_key.encode(), names.IDEMPOTENCY_KEY)
    expires_in_ms = _expires_in_ms(engine, class_name, properties)
    key = parse_key(str(headers.get(names.KEY) or "0"))
    return Message(
        number=0,  # the engine assigns the number
        id=message_id,
        class_name=class_name,
        tenant=tenant,
        destination=destination,
        key=key,
        idempotency_key=idempotency_key,
        deadline_unix_us=engine.clock.unix(engine.clock.now()) + expires_in_ms * US_PER_MS,
        body=body,
        front=FRONT_NAME,
        reply={"to": properties.reply_to},
    )


def _expires_in_ms(engine: DeliveryEngine, class_name: str, properties: commands.Basic.Properties) -> int:
    """Return the time limit of the message in milliseconds: its expiration, or the deadline of its class."""
    default_ms = engine.settings.delivery_rules[class_name].traffic_class.deadline_ns // NS_PER_MS
    return parse_number(properties.expiration or str(default_ms), names.EXPIRATION, MAX_DEADLINE_MS)


class Publisher:
    """Hands the publishes of one connection to the engine, and confirms or rejects them.

    Args:
        engine: Accepts the messages.
        connection: The connection.
        writer: Queues the confirms for writing.
        channels: The open channels of the connection, by their numbers.

    Attributes:
        unconfirmed: How many accepted messages wait for their replicas before they are confirmed.
    """

    def __init__(
        self,
        engine: DeliveryEngine,
        connection: Connection,
        writer: FrameWriter,
        channels: Mapping[int, Channel],
    ) -> None:
        self.unconfirmed = 0
        self._engine = engine
        self._connection = connection
        self._writer = writer
        self._channels = channels

    def publish(self, channel: Channel, received: ReceivedMethod) -> None:
        """Submit a message to the engine, and confirm or reject it.

        Raises:
            AmqpError: The publish is malformed, or may not be made on this channel.
        """
        method, properties, body = received
        assert isinstance(method, commands.Basic.Publish)  # checked by ChannelMethods.handle()
        assert properties is not None  # the assembler passes a publish on only with its content
        if not channel.confirms:
            # Without confirms a publisher could not know which messages were accepted.
            raise AmqpError(ReplyCode.PRECONDITION_FAILED, "publisher confirms are not selected", method)
        if method.exchange != DEFAULT_EXCHANGE:
            raise AmqpError(ReplyCode.NOT_FOUND, f"no exchange {method.exchange!r}", method)
        if body is None:
            raise AmqpError(ReplyCode.CONTENT_TOO_LARGE, f"a body over {MAX_BODY_BYTES} bytes", method)
        channel.published += 1
        tag = channel.published
        try:
            self._accept(read_message(self._engine, method, properties, body))
        except RejectedError as error:
            log("rejected", front=FRONT_NAME, reason=str(error))
            self._reject(channel, tag, ReceivedMethod(method, properties, body), error.retry_after_ms)
        else:
            self._confirm(channel, tag)

    def _accept(self, message: Message) -> None:
        if self._connection.peer_has_left():
            # A publisher that cannot get the confirm publishes again. Accepted here as well, the message
            # would be delivered twice once its id is forgotten.
            raise RejectedError(0, "the client connection has been closed")
        self._engine.accept(message)

    def _reject(self, channel: Channel, tag: int, publish: ReceivedMethod, retry_after_ms: int) -> None:
        """Return a message with the wait before it may be published again, and send a nack."""
        method, properties, body = publish
        assert isinstance(method, commands.Basic.Publish)
        assert properties is not None
        assert body is not None
        properties.headers = dict(properties.headers or {}) | {names.RETRY_AFTER_MS: retry_after_ms}
        returned = commands.Basic.Return(
            ReplyCode.RESOURCE_ERROR, f"BUSY {retry_after_ms}", DEFAULT_EXCHANGE, method.routing_key
        )
        self._writer.send_content(channel.number, returned, properties, body)
        self._writer.send(channel.number, commands.Basic.Nack(tag, False, False))

    def _confirm(self, channel: Channel, tag: int) -> None:
        """Confirm a message that is in the journal; with replication, once the replicas have it."""
        if self._engine.replication is None:
            self._writer.send(channel.number, commands.Basic.Ack(tag, False))
        else:
            self.unconfirmed += 1
            self._engine.tasks.start_soon(self._confirm_when_replicated, channel, tag)

    async def _confirm_when_replicated(self, channel: Channel, tag: int) -> None:
        """Confirm a message once it is replicated; if it is not in time, the publisher publishes it again."""
        try:
            replicated = await self._engine.wait_committed()
        finally:
            self.unconfirmed -= 1
        if replicated and self._channels.get(channel.number) is channel:
            self._writer.send(channel.number, commands.Basic.Ack(tag, False))
