"""Stand-ins of the soak that stop listening for a while."""

import asyncio
import socket
import unittest

from soak.listener import Listener

HOST = '127.0.0.1'


async def ignore(reader, writer):
    writer.close()


class ListenerTest(unittest.TestCase):
    # While a stand-in was down its port went to another one, and it could not start again.
    def test_port_stays_its_own_while_nothing_listens(self):
        async def run():
            listener = Listener(HOST)
            await listener.listen(ignore)
            port = listener.port
            listener.stop_listening()
            with self.assertRaises(OSError), socket.socket() as other:
                other.bind((HOST, port))
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(HOST, port)
            await listener.listen(ignore)
            self.assertEqual(listener.port, port)
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            listener.stop_listening()
            listener.stop_listening()
            listener.reserved.close()

        asyncio.run(run())
