"""Tests of the gRPC health service: GrpcSession alone, and the daemon with the client of grpcio.

They guard against a wrong or outdated status, against input that exhausts memory or raises an exception, and
against a flood of control frames that does not end the connection.
"""

from __future__ import annotations

import socket
import struct
import unittest

import grpc
from grpc_health.v1 import health_pb2, health_pb2_grpc
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, DataReceived, ResponseReceived, StreamReset, TrailersReceived
from h2.settings import SettingCodes
from hypothesis import given
from hypothesis import strategies as st
from player import WAIT_TIMEOUT_S, Daemon, config, member

from spanwing.frontends.balancers.grpc_health import (
    CHECK_PATH,
    MAX_CONTROL_FRAMES,
    MAX_HEADER_BYTES,
    MAX_STREAMS,
    WATCH_PATH,
    GrpcSession,
    parse_service,
)
from spanwing.health.state_machine import HealthVerdict

READY = HealthVerdict("ready", 100, (), (("status-read", ""), ("setpoint-push", "no big-box")))
DRAINING = READY._replace(state="draining", weight=0, reasons=("draining",))
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":authority", "x"),
    ("te", "trailers"),
    ("content-type", "application/grpc"),
]


def encode_request(service: str) -> bytes:
    body = health_pb2.HealthCheckRequest(service=service).SerializeToString()
    return struct.pack("!BI", 0, len(body)) + body


class SessionPair:
    """An h2 client and a GrpcSession that exchange bytes without a network."""

    def __init__(self) -> None:
        self.verdict, self.now = READY, 0.0
        self.session = GrpcSession(lambda: self.verdict)
        self.client = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.client.initiate_connection()
        self.events: list = []

    def exchange(self) -> list:
        """Passes bytes both ways until there are none left; returns the client's new events."""
        new_events = []
        while True:
            output = self.client.data_to_send()
            if output and not self.session.is_closed:
                self.session.receive(output, self.now)
            reply_bytes = self.session.pending_output()
            if not output and not reply_bytes:
                break
            new_events += self.client.receive_data(reply_bytes) if reply_bytes else []
        self.events += new_events
        return new_events

    def send_request(self, path: str, service: str, headers=HEADERS) -> int:
        stream = self.client.get_next_available_stream_id()
        self.client.send_headers(stream, [(":path", path), *headers])
        self.client.send_data(stream, encode_request(service), end_stream=True)
        return stream

    def call(self, path: str, service: str) -> tuple[list[int], str | None]:
        """Returns the health statuses received, and the gRPC status or None if the call is still open."""
        self.send_request(path, service)
        events = self.exchange()
        statuses = [each.data[-1] for each in events if isinstance(each, DataReceived)]
        header_events = TrailersReceived | ResponseReceived
        headers = [dict(each.headers) for each in events if isinstance(each, header_events)]
        return statuses, next((each["grpc-status"] for each in headers if "grpc-status" in each), None)


class GrpcSessionTests(unittest.TestCase):
    def test_check_reports_the_status_of_each_service(self) -> None:
        pair = SessionPair()
        self.assertEqual(pair.call(CHECK_PATH, ""), ([1], "0"))
        self.assertEqual(pair.call(CHECK_PATH, "status-read"), ([1], "0"))
        self.assertEqual(pair.call(CHECK_PATH, "setpoint-push"), ([2], "0"))
        self.assertEqual(pair.call(CHECK_PATH, "nobody"), ([], "5"))
        self.assertEqual(pair.call("/grpc.health.v1.Health/List", ""), ([], "12"))
        pair.verdict = DRAINING
        self.assertEqual(pair.call(CHECK_PATH, "status-read"), ([2], "0"))

    def test_watch_sends_only_changes(self) -> None:
        pair = SessionPair()
        self.assertEqual(pair.call(WATCH_PATH, "status-read"), ([1], None))
        self.assertEqual(pair.call(WATCH_PATH, "nobody"), ([3], None))
        for verdict, statuses in ((READY, []), (DRAINING, [2]), (DRAINING, []), (READY, [1])):
            pair.verdict = verdict
            pair.session.publish_verdict()
            self.assertEqual(
                [each.data[-1] for each in pair.exchange() if isinstance(each, DataReceived)], statuses
            )

    def test_a_watch_without_window_gets_only_the_newest_status(self) -> None:
        pair = SessionPair()
        pair.client.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: 0})
        stream = pair.send_request(WATCH_PATH, "")
        pair.exchange()
        for verdict in (DRAINING, READY, DRAINING):
            pair.verdict = verdict
            pair.session.publish_verdict()
        self.assertEqual([each for each in pair.exchange() if isinstance(each, DataReceived)], [])
        pair.client.increment_flow_control_window(100, stream)
        self.assertEqual([each.data[-1] for each in pair.exchange() if isinstance(each, DataReceived)], [2])

    def test_malformed_and_too_large_requests_get_an_error_status(self) -> None:
        for data, status in (
            (b"\x01" + bytes(4), "3"),
            (b"\x00\x00\x00\x00\x09ab", "3"),
            (b"", "3"),
            (struct.pack("!BI", 0, 3) + b"\x0a\x05a", "3"),
            (bytes(2000), "8"),
        ):
            pair = SessionPair()
            stream = pair.client.get_next_available_stream_id()
            pair.client.send_headers(stream, [(":path", CHECK_PATH), *HEADERS])
            pair.client.send_data(stream, data, end_stream=True)
            headers = [dict(each.headers) for each in pair.exchange() if isinstance(each, ResponseReceived)]
            self.assertEqual(headers[0]["grpc-status"], status, data)
            self.assertEqual(pair.call(CHECK_PATH, ""), ([1], "0"))  # the connection still works
        pair = SessionPair()
        pair.send_request(CHECK_PATH, "", [each for each in HEADERS if each[0] != "content-type"])
        headers = [dict(each.headers) for each in pair.exchange() if isinstance(each, ResponseReceived)]
        self.assertEqual([each[":status"] for each in headers], ["415"])

    def assert_closed_with(self, pair: SessionPair, error_code: ErrorCodes) -> None:
        terminations = [each for each in pair.events if isinstance(each, ConnectionTerminated)]
        self.assertTrue(pair.session.is_closed)
        self.assertEqual([each.error_code for each in terminations], [error_code])

    def test_a_flood_of_control_frames_ends_the_connection(self) -> None:
        def reset(pair: SessionPair) -> None:
            pair.client.reset_stream(pair.send_request(CHECK_PATH, ""), ErrorCodes.CANCEL)

        for send_frame in (
            lambda pair: pair.client.ping(bytes(8)),
            reset,
            lambda pair: pair.client.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: 70000}),
        ):
            pair = SessionPair()
            pair.exchange()
            for _ in range(MAX_CONTROL_FRAMES + 2):
                if not pair.session.is_closed:
                    send_frame(pair)
                    pair.exchange()
            self.assert_closed_with(pair, ErrorCodes.ENHANCE_YOUR_CALM)

    def test_control_frames_at_a_normal_rate_are_accepted(self) -> None:
        pair = SessionPair()
        for _ in range(MAX_CONTROL_FRAMES * 3):
            pair.now += 1.0
            pair.client.ping(bytes(8))
            pair.exchange()
        self.assertEqual(pair.call(CHECK_PATH, ""), ([1], "0"))

    def test_a_peer_that_does_not_answer_a_ping_is_closed(self) -> None:
        pair = SessionPair()
        pair.call(WATCH_PATH, "")
        self.assertTrue(pair.session.keep_alive())
        pair.exchange()  # the client answers the first PING
        self.assertTrue(pair.session.keep_alive())
        self.assertFalse(pair.session.keep_alive())  # it has not answered the second one

    def test_streams_and_headers_are_bounded(self) -> None:
        pair = SessionPair()
        pair.exchange()
        pair.client.remote_settings.max_concurrent_streams = MAX_STREAMS + 10  # it ignores the limit
        for _ in range(MAX_STREAMS + 1):
            pair.send_request(WATCH_PATH, "")
        pair.exchange()
        self.assertTrue(pair.session.is_closed or len(pair.session.calls) <= MAX_STREAMS)
        pair = SessionPair()
        pair.send_request(CHECK_PATH, "", [*HEADERS, ("x-long", "y" * (MAX_HEADER_BYTES + 1))])
        pair.exchange()
        self.assertTrue(pair.session.is_closed or any(isinstance(each, StreamReset) for each in pair.events))

    @given(st.lists(st.binary(max_size=40), max_size=8))
    def test_no_input_raises(self, chunks) -> None:
        session = GrpcSession(lambda: READY)
        session.receive(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 0.0)
        for chunk in chunks:
            if not session.is_closed:
                session.receive(chunk, 0.0)
        session.pending_output()

    @given(st.binary(max_size=40))
    def test_parse_service_returns_a_name_or_raises_value_error(self, data: bytes) -> None:
        try:
            self.assertIsInstance(parse_service(data), str)
        except ValueError:
            pass

    @given(st.text(max_size=40))
    def test_parse_service_reads_the_encoding_of_protobuf(self, name: str) -> None:
        self.assertEqual(parse_service(health_pb2.HealthCheckRequest(service=name).SerializeToString()), name)


class ClientLibraryTests(unittest.TestCase):
    """Tests with the daemon and the client of grpcio."""

    def test_check_and_watch_during_a_drain(self) -> None:
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        daemon = Daemon(config([member("w1", worker.getsockname()[1])]), '[grpc]\nlisten = "127.0.0.1:0"\n')
        self.addCleanup(daemon.close)
        host, port = daemon.wait_until_ready().addresses["grpc"]
        with grpc.insecure_channel(f"{host}:{port}") as channel:
            stub = health_pb2_grpc.HealthStub(channel)
            watch = stub.Watch(
                health_pb2.HealthCheckRequest(service="schedule-apply"), timeout=WAIT_TIMEOUT_S
            )
            while next(watch).status != health_pb2.HealthCheckResponse.SERVING:
                pass
            request_message = health_pb2.HealthCheckRequest()
            self.assertEqual(stub.Check(request_message, timeout=WAIT_TIMEOUT_S).status, 1)
            with self.assertRaises(grpc.RpcError) as unknown:
                stub.Check(health_pb2.HealthCheckRequest(service="nobody"), timeout=WAIT_TIMEOUT_S)
            self.assertEqual(unknown.exception.code(), grpc.StatusCode.NOT_FOUND)
            daemon.process.terminate()
            self.assertEqual(next(watch).status, health_pb2.HealthCheckResponse.NOT_SERVING)
            self.assertEqual(stub.Check(request_message, timeout=WAIT_TIMEOUT_S).status, 2)
        self.assertEqual(daemon.wait()[0], 0)
        self.assertNotIn("Traceback", daemon.stderr_text())


if __name__ == "__main__":
    unittest.main()
