"""The file deploy/amqp.toml, which turns the AMQP front on."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from pinspread.config.settings import SettingsError

AMQP_FILE = Path(__file__).parents[2] / "deploy" / "amqp.toml"


@dataclass(slots=True)
class AmqpFile:
    """Where the AMQP front listens, and how often it sends heartbeats.

    Attributes:
        listen: The address, as host:port; if empty, the front is off.
        heartbeat_s: Seconds between heartbeats; 0 turns them off.
    """

    listen: str = ""
    heartbeat_s: int = 30


def amqp_file(path: str | Path = AMQP_FILE) -> AmqpFile:
    """Read the file; if there is none, the front is off.

    Raises:
        SettingsError: The file cannot be read, or its contents are invalid.
    """
    try:
        with open(path, "rb") as file:
            return AmqpFile(**tomllib.load(file))
    except FileNotFoundError:
        return AmqpFile()
    except (OSError, TypeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
