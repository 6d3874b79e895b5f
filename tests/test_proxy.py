"""The PROXY protocol: the parser on truncated and invalid headers, and listeners behind a balancer."""

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

V1_HEADER = b"PROXY TCP4 192.0.2.7 192.0.2.1 51000 8080\r\n"


def v2_header(command: int = 1, family: int = 0x11, body: bytes = b"", tlvs: bytes = b"") -> bytes:
    if not body and family == 0x11 and command == 1:
        body = bytes((192, 0, 2, 7, 192, 0, 2, 1)) + struct.pack("!HH", 51000, 8080)
    payload = body + tlvs
    return SIGNATURE_V2 + struct.pack("!BBH", 0x20 | command, family, len(payload)) + payload


def with_checksum(checksum_error: int = 0) -> bytes:
    zeroed_header = v2_header(tlvs=struct.pack("!BHI", 3, 4, 0))
    return zeroed_header[:-4] + struct.pack("!I", google_crc32c.value(zeroed_header) ^ checksum_error)


class Parser(unittest.TestCase):
    def test_complete_headers_and_their_prefixes(self) -> None:
        ipv6_header = v2_header(
            family=0x21, body=socket.inet_pton(socket.AF_INET6, "2001:db8::7") * 2 + bytes(4)
        )
        for data, is_local, source in (
            (V1_HEADER, False, ("192.0.2.7", 51000)),
            (b"PROXY TCP6 ::1 ::1 1 2\r\n", False, ("::1", 1)),
            (b"PROXY UNKNOWN\r\n", True, None),
            (b"PROXY UNKNOWN ffff:: ffff:: 1 2\r\n", True, None),
            (v2_header(), False, ("192.0.2.7", 51000)),
            (ipv6_header, False, ("2001:db8::7", 0)),
            (v2_header(command=0, family=0), True, None),
            (v2_header(command=0, family=0x11), True, None),
            (v2_header(family=0, body=b""), True, None),
            (v2_header(family=0x31, body=bytes(216)), True, None),
            (with_checksum(), False, ("192.0.2.7", 51000)),
        ):
            for cut in range(len(data)):
                self.assertIsNone(parse_header(data[:cut]), data[:cut])
            header = parse_header(data + b"GET /")
            self.assertEqual((header.size, header.is_local, header.source), (len(data), is_local, source))

    def test_invalid_headers(self) -> None:
        for data in (
            b"GET / HTTP/1.1\r\n",
            b"PROXY TCP4 1.2.3.4 5.6.7.8 1\r\n",
            b"PROXY TCP4 1.2.3 5.6.7.8 1 2\r\n",
            b"PROXY TCP4 1.2.3.4 5.6.7.8 01 2\r\n",
            b"PROXY TCP4 1.2.3.4 5.6.7.8 1 65536\r\n",
            b"PROXY TCP4 ::1 ::1 1 2\r\n",
            b"PROXY " + b"x" * 120,
            SIGNATURE_V2 + b"\x11\x11\x00\x0c" + bytes(12),
            v2_header(command=2),
            v2_header(family=0x41),
            v2_header(family=0x13, body=bytes(12)),
            v2_header(body=bytes(4)),
            v2_header(tlvs=b"\x04\x00\x05ab"),
            v2_header(tlvs=b"\x04"),
            v2_header(tlvs=b"\x03\x00\x03abc"),
            with_checksum(checksum_error=1),
            SIGNATURE_V2 + struct.pack("!BBH", 0x21, 0x11, MAX_V2_BYTES),
        ):
            with self.assertRaises(ProxyError, msg=data):
                parse_header(data)

    @given(st.binary(max_size=64) | st.binary(max_size=64).map(lambda data: SIGNATURE_V2 + data))
    def test_any_input_is_parsed_incomplete_or_rejected(self, data: bytes) -> None:
        try:
            header = parse_header(data)
        except ProxyError:
            return
        self.assertTrue(header is None or header.size <= len(data))

    def test_proxy_sources(self) -> None:
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


class Listeners(unittest.TestCase):
    def start_daemon(self, sources: str) -> Daemon:
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        fronts = f'[proxy]\nfronts = ["clients", "faktory", "health"]\nsources = ["{sources}"]\n' + "".join(
            f'[{name}]\nlisten = "127.0.0.1:0"\n' for name in ("health", "faktory")
        )
        daemon = Daemon(config([member("w1", worker.getsockname()[1])]), fronts).wait_until_ready()
        self.addCleanup(daemon.close)
        return daemon

    def send(self, daemon: Daemon, front: str, data: bytes, *more_data: bytes) -> bytes:
        with daemon.connect(front) as client:
            client.sendall(data)
            for each in more_data:
                client.sendall(each)
            try:
                return client.recv(1000)
            except ConnectionResetError:
                return b""

    def test_a_listed_balancer_sends_a_header_on_every_listener(self) -> None:
        daemon = self.start_daemon("127.0.0.0/8")
        up_request = b"GET /up HTTP/1.1\r\n\r\n"
        for header in (V1_HEADER, v2_header(), v2_header(command=0, family=0), with_checksum()):
            self.assertIn(b"200 OK", self.send(daemon, "clients", header, up_request))
            self.assertIn(b"200 OK", self.send(daemon, "clients", header + up_request))
        self.assertIn(b"200 OK", self.send(daemon, "health", v2_header() + b"GET /live HTTP/1.1\r\n\r\n"))
        self.assertIn(b'+HI {"v":2}', self.send(daemon, "faktory", V1_HEADER))
        # Without a valid header, the connection is closed and no request is read.
        for invalid in (up_request, with_checksum(checksum_error=1) + up_request, V1_HEADER[:20]):
            self.assertEqual(self.send(daemon, "clients", invalid), b"")
        self.assertIn("proxy peer=127.0.0.1 reason=wrong checksum", daemon.stderr_text())

    def test_other_peers_cannot_forge_an_address(self) -> None:
        daemon = self.start_daemon("192.0.2.0/24")
        self.assertIn(
            b"400 Bad Request", self.send(daemon, "clients", V1_HEADER + b"GET /up HTTP/1.1\r\n\r\n")
        )
        self.assertIn(b"200 OK", self.send(daemon, "clients", b"GET /up HTTP/1.1\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()
