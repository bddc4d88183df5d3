"""A courier that is configured by an application's file, in a process of its own."""

import signal
import subprocess
import sys

import anyio
from standins import Client, own_address, wait_until_answering

from pinspread.config.template import template


class Application:
    """A courier of one application (`--app`) in a process of its own, whose only endpoint is a broker."""

    def __init__(self, folder, broker, platform_address):
        self.address = own_address()
        text = template("pay").replace("127.0.0.1:8500", platform_address)
        text = text.replace('amqp = "127.0.0.1:5672"', "").replace("127.0.0.1:6379", self.address)
        text = text.replace("127.0.0.1:9600", own_address())
        text = text.replace('"state"', f'"{folder}/state"').replace("partners.zone", f"{folder}/zone")
        text = text.replace("refresh_s = 5", "refresh_s = 0.3")
        self.secret = folder / "secret"
        self.secret.write_text("s3cret\n")
        text = text.replace('user = "guest"', f'user = "u"\npassword_file = "{self.secret}"')
        (folder / "pay.toml").write_text(text)
        (folder / "zone").write_text(
            f"""$TTL 60
_amqp._tcp PTR b._amqp._tcp
b._amqp._tcp SRV 0 0 {broker.split(":")[1]} host
b._amqp._tcp TXT "dest=1" "rate=500"
host A 127.0.0.1
"""
        )
        command = [sys.executable, "-m", "pinspread", "serve", "--app", str(folder / "pay.toml")]
        self.process = subprocess.Popen(command, stdout=subprocess.DEVNULL)

    async def client(self):
        """Return a client, once the courier answers."""
        client = Client(self.address)
        await wait_until_answering(client)
        return client

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await anyio.to_thread.run_sync(self.process.wait)
