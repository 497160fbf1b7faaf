"""Loopback proxy between processes under soak: a process of its own, told by lines on standard input what to do.

    listen NAME FROM_ADDRESS TO_ADDRESS
    set NAME MODE DELAY_MS      MODE: pass, silent, cut_to, cut_from (one direction drops), refuse
    reset NAME                  resets the connections that are open
    sever NAME                  the connections that are open carry nothing any more; new ones work
"""

import asyncio
import socket
import struct
import sys

CHUNK = 65536


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Pair:
    """One connection through the proxy."""

    def __init__(self):
        self.is_severed = False


class Link:
    """One listening address and the connections through it."""

    def __init__(self, target):
        self.target = split(target)
        self.mode = "pass"
        self.delay = 0.0
        self.writers = set()
        self.pairs = set()

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            self.abort(writer)
            return
        # The connection waits as a lost packet would: a silent link does not refuse.
        while self.mode != "pass":
            await asyncio.sleep(0.02)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self.abort(writer)
            return
        pair = Pair()
        self.pairs.add(pair)
        self.writers |= {writer, far_writer}
        await asyncio.gather(
            self.carry(pair, reader, far_writer, "cut_to"), self.carry(pair, far_reader, writer, "cut_from")
        )
        self.writers -= {writer, far_writer}
        self.pairs.discard(pair)

    async def carry(self, pair, reader, writer, cut):
        """Bytes of a cut direction are held back and carried on later, as TCP would send them again."""
        try:
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.mode in ("silent", cut):
                    await asyncio.sleep(0.02)
                if pair.is_severed:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, RuntimeError):
            self.abort(writer)

    @staticmethod
    def abort(writer):
        end = writer.get_extra_info("socket")
        if end is not None and end.fileno() >= 0:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def sever(self):
        for pair in self.pairs:
            pair.is_severed = True

    def reset(self):
        for writer in list(self.writers):
            self.abort(writer)


async def main():
    links = {}
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := (await commands.readline()).decode().split():
        if line[0] == "listen":
            links[line[1]] = Link(line[3])
            await asyncio.start_server(links[line[1]].accept, *split(line[2]))
            print("listens", flush=True)
        elif line[0] == "set":
            links[line[1]].mode = line[2]
            links[line[1]].delay = float(line[3]) / 1000
        elif line[0] == "reset":
            links[line[1]].reset()
        elif line[0] == "sever":
            links[line[1]].sever()


asyncio.run(main())
