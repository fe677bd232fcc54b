"""Encodes and decodes the platform's packets for the simulated callers and upstreams."""

import socket
import struct
from dataclasses import dataclass

HEAD = struct.Struct("<IIIBBHIIHIH")
SYN, ACK, FIN, RST = 8, 32, 64, 1
INSTANCE_BYTES = 8


def pack_address(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def unpack_address(value):
    return socket.inet_ntoa(struct.pack(">I", value))


@dataclass
class Packet:
    echo: int
    seq: int
    ack: int
    flags: int
    dst: tuple  # (address, port)
    src: tuple
    data: bytes = b""

    def encode(self):
        return (
            HEAD.pack(
                self.echo, self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF, self.flags, 0, len(self.data), 0,
                pack_address(self.dst[0]), self.dst[1], pack_address(self.src[0]), self.src[1],
            )
            + self.data
        )

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        echo, seq, ack, flags, _, length, _, dst, dport, src, sport = HEAD.unpack_from(raw)
        data = raw[HEAD.size :]
        if length != len(data):
            return None
        return Packet(echo, seq, ack, flags, (unpack_address(dst), dport), (unpack_address(src), sport), data)
