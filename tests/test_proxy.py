"""The PROXY protocol: the parser at every cut, and a front on which a listed balancer speaks it."""

from __future__ import annotations

import socket
import struct
import unittest

import google_crc32c
from hypothesis import given
from hypothesis import strategies as st
from player import Daemon, config, member

from spanwing.net.proxied_connections import is_proxy_source
from spanwing.net.proxy_protocol import MAX_V2_BYTES, SIGNATURE_V2, ProxyError, parse_header

V1 = b"PROXY TCP4 192.0.2.7 192.0.2.1 51000 8080\r\n"


def v2(command: int = 1, family: int = 0x11, body: bytes = b"", tlvs: bytes = b"") -> bytes:
    if not body and family == 0x11 and command == 1:
        body = bytes((192, 0, 2, 7, 192, 0, 2, 1)) + struct.pack("!HH", 51000, 8080)
    rest = body + tlvs
    return SIGNATURE_V2 + struct.pack("!BBH", 0x20 | command, family, len(rest)) + rest


def with_checksum(flip: int = 0) -> bytes:
    bare = v2(tlvs=struct.pack("!BHI", 3, 4, 0))
    return bare[:-4] + struct.pack("!I", google_crc32c.value(bare) ^ flip)


class Parser(unittest.TestCase):
    def test_whole_headers_at_every_cut(self) -> None:
        v6 = v2(family=0x21, body=socket.inet_pton(socket.AF_INET6, "2001:db8::7") * 2 + bytes(4))
        for data, local, source in (
            (V1, False, ("192.0.2.7", 51000)),
            (b"PROXY TCP6 ::1 ::1 1 2\r\n", False, ("::1", 1)),
            (b"PROXY UNKNOWN\r\n", True, None),
            (b"PROXY UNKNOWN ffff:: ffff:: 1 2\r\n", True, None),
            (v2(), False, ("192.0.2.7", 51000)),
            (v6, False, ("2001:db8::7", 0)),
            (v2(command=0, family=0), True, None),
            (v2(command=0, family=0x11), True, None),
            (v2(family=0, body=b""), True, None),
            (v2(family=0x31, body=bytes(216)), True, None),
            (with_checksum(), False, ("192.0.2.7", 51000)),
        ):
            for cut in range(len(data)):
                self.assertIsNone(parse_header(data[:cut]), data[:cut])
            header = parse_header(data + b"GET /")
            self.assertEqual((header.size, header.is_local, header.source), (len(data), local, source))

    def test_what_is_no_header(self) -> None:
        for data in (
            b"GET / HTTP/1.1\r\n",
            b"PROXY TCP4 1.2.3.4 5.6.7.8 1\r\n",
            b"PROXY TCP4 1.2.3 5.6.7.8 1 2\r\n",
            b"PROXY TCP4 1.2.3.4 5.6.7.8 01 2\r\n",
            b"PROXY TCP4 1.2.3.4 5.6.7.8 1 65536\r\n",
            b"PROXY TCP4 ::1 ::1 1 2\r\n",
            b"PROXY " + b"x" * 120,
            SIGNATURE_V2 + b"\x11\x11\x00\x0c" + bytes(12),
            v2(command=2),
            v2(family=0x41),
            v2(family=0x13, body=bytes(12)),
            v2(body=bytes(4)),
            v2(tlvs=b"\x04\x00\x05ab"),
            v2(tlvs=b"\x04"),
            v2(tlvs=b"\x03\x00\x03abc"),
            with_checksum(flip=1),
            SIGNATURE_V2 + struct.pack("!BBH", 0x21, 0x11, MAX_V2_BYTES),
        ):
            with self.assertRaises(ProxyError, msg=data):
                parse_header(data)

    @given(st.binary(max_size=64) | st.binary(max_size=64).map(lambda data: SIGNATURE_V2 + data))
    def test_any_bytes_end_in_one_of_three_ways(self, data: bytes) -> None:
        try:
            header = parse_header(data)
        except ProxyError:
            return
        self.assertTrue(header is None or header.size <= len(data))

    def test_addresses(self) -> None:
        import ipaddress

        sources = (ipaddress.ip_network("10.0.0.0/8"), ipaddress.ip_network("::1"))
        for peer, is_listed in (
            ("10.1.2.3", True),
            ("11.1.2.3", False),
            ("::1", True),
            ("", False),
            ("::ffff:10.0.0.1", True),
            ("fe80::1%eth0", False),
        ):
            self.assertEqual(is_proxy_source(peer, sources), is_listed, peer)


class Fronts(unittest.TestCase):
    def start(self, sources: str) -> Daemon:
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        fronts = f'[proxy]\nfronts = ["clients", "faktory", "health"]\nsources = ["{sources}"]\n' + "".join(
            f'[{name}]\nlisten = "127.0.0.1:0"\n' for name in ("health", "faktory")
        )
        daemon = Daemon(config([member("w1", worker.getsockname()[1])]), fronts).ready()
        self.addCleanup(daemon.close)
        return daemon

    def say(self, daemon: Daemon, front: str, data: bytes, *more: bytes) -> bytes:
        with daemon.connect(front) as speaker:
            speaker.sendall(data)
            for each in more:
                speaker.sendall(each)
            try:
                return speaker.recv(1000)
            except ConnectionResetError:
                return b""

    def test_a_listed_balancer_speaks_it_on_every_front(self) -> None:
        daemon = self.start("127.0.0.0/8")
        up = b"GET /up HTTP/1.1\r\n\r\n"
        for header in (V1, v2(), v2(command=0, family=0), with_checksum()):
            self.assertIn(b"200 OK", self.say(daemon, "clients", header, up))
            self.assertIn(b"200 OK", self.say(daemon, "clients", header + up))
        self.assertIn(b"200 OK", self.say(daemon, "health", v2() + b"GET /live HTTP/1.1\r\n\r\n"))
        self.assertIn(b'+HI {"v":2}', self.say(daemon, "faktory", V1))
        # None, a damaged or a half one: a clean close, and nothing of what follows is read as a request.
        for wrong in (up, with_checksum(flip=1) + up, V1[:20]):
            self.assertEqual(self.say(daemon, "clients", wrong), b"")
        self.assertIn("proxy peer=127.0.0.1 reason=wrong checksum", daemon.said())

    def test_nobody_else_can_forge_an_address(self) -> None:
        daemon = self.start("192.0.2.0/24")
        self.assertIn(b"400 Bad Request", self.say(daemon, "clients", V1 + b"GET /up HTTP/1.1\r\n\r\n"))
        self.assertIn(b"200 OK", self.say(daemon, "clients", b"GET /up HTTP/1.1\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()
