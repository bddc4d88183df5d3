"""The responses of the admin server; operators' tools depend on their exact bytes."""

from dataclasses import dataclass
from http import HTTPStatus

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout"}
OTHER_REASON = "Service Unavailable"


@dataclass(slots=True, frozen=True)
class Response:
    """A response of one line of text.

    Attributes:
        status: The status code.
        text: The line of text, without its line break.
        allowed_method: The method that the path supports, for a request with another method.
    """

    status: int
    text: str
    allowed_method: str = ""

    def encode(self) -> bytes:
        """Encode the head and the body."""
        body = self.text.encode("utf-8", "replace") + b"\n"
        head = (
            f"HTTP/1.1 {self.status} {REASONS.get(self.status, OTHER_REASON)}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n"
        )
        if self.allowed_method:
            head += f"Allow: {self.allowed_method}\r\n"
        return head.encode() + b"\r\n" + body


def method_not_allowed(path: str, method: str) -> Response:
    """Return the response to a request whose path supports only another method."""
    return Response(HTTPStatus.METHOD_NOT_ALLOWED.value, f"{path} takes {method}", method)
