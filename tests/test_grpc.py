"""gRPC health: the pure session under floods, and the daemon asked by a published client library."""

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

UP = HealthVerdict("ready", 100, (), (("status-read", ""), ("setpoint-push", "no big-box")))
DRAINING = UP._replace(state="draining", weight=0, reasons=("draining",))
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":authority", "x"),
    ("te", "trailers"),
    ("content-type", "application/grpc"),
]


def request(service: str) -> bytes:
    body = health_pb2.HealthCheckRequest(service=service).SerializeToString()
    return struct.pack("!BI", 0, len(body)) + body


class Pair:
    """An h2 client and a session, joined by hand."""

    def __init__(self) -> None:
        self.verdict, self.now = UP, 0.0
        self.session = GrpcSession(lambda: self.verdict)
        self.client = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.client.initiate_connection()
        self.seen: list = []

    def pump(self) -> list:
        """Both ways until nothing moves; the client's new events."""
        fresh = []
        while True:
            out = self.client.data_to_send()
            if out and not self.session.is_closed:
                self.session.receive(out, self.now)
            back = self.session.pending_output()
            if not out and not back:
                break
            fresh += self.client.receive_data(back) if back else []
        self.seen += fresh
        return fresh

    def ask(self, path: str, service: str, headers=HEADERS) -> int:
        stream = self.client.get_next_available_stream_id()
        self.client.send_headers(stream, [(":path", path), *headers])
        self.client.send_data(stream, request(service), end_stream=True)
        return stream

    def answer(self, path: str, service: str) -> tuple[list[int], str | None]:
        """The statuses told and the gRPC status, if the call is over."""
        self.ask(path, service)
        events = self.pump()
        told = [each.data[-1] for each in events if isinstance(each, DataReceived)]
        heads = TrailersReceived | ResponseReceived
        ends = [dict(each.headers) for each in events if isinstance(each, heads)]
        return told, next((each["grpc-status"] for each in ends if "grpc-status" in each), None)


class Sessions(unittest.TestCase):
    def test_check_by_service(self) -> None:
        pair = Pair()
        self.assertEqual(pair.answer(CHECK_PATH, ""), ([1], "0"))
        self.assertEqual(pair.answer(CHECK_PATH, "status-read"), ([1], "0"))
        self.assertEqual(pair.answer(CHECK_PATH, "setpoint-push"), ([2], "0"))
        self.assertEqual(pair.answer(CHECK_PATH, "nobody"), ([], "5"))
        self.assertEqual(pair.answer("/grpc.health.v1.Health/List", ""), ([], "12"))
        pair.verdict = DRAINING
        self.assertEqual(pair.answer(CHECK_PATH, "status-read"), ([2], "0"))

    def test_watch_hears_of_changes_alone(self) -> None:
        pair = Pair()
        self.assertEqual(pair.answer(WATCH_PATH, "status-read"), ([1], None))
        self.assertEqual(pair.answer(WATCH_PATH, "nobody"), ([3], None))
        for verdict, told in ((UP, []), (DRAINING, [2]), (DRAINING, []), (UP, [1])):
            pair.verdict = verdict
            pair.session.publish_verdict()
            self.assertEqual([each.data[-1] for each in pair.pump() if isinstance(each, DataReceived)], told)

    def test_a_watch_whose_window_is_shut_is_owed_the_newest_only(self) -> None:
        pair = Pair()
        pair.client.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: 0})
        stream = pair.ask(WATCH_PATH, "")
        pair.pump()
        for verdict in (DRAINING, UP, DRAINING):
            pair.verdict = verdict
            pair.session.publish_verdict()
        self.assertEqual([each for each in pair.pump() if isinstance(each, DataReceived)], [])
        pair.client.increment_flow_control_window(100, stream)
        self.assertEqual([each.data[-1] for each in pair.pump() if isinstance(each, DataReceived)], [2])

    def test_malformed_and_too_large(self) -> None:
        for data, status in (
            (b"\x01" + bytes(4), "3"),
            (b"\x00\x00\x00\x00\x09ab", "3"),
            (b"", "3"),
            (struct.pack("!BI", 0, 3) + b"\x0a\x05a", "3"),
            (bytes(2000), "8"),
        ):
            pair = Pair()
            stream = pair.client.get_next_available_stream_id()
            pair.client.send_headers(stream, [(":path", CHECK_PATH), *HEADERS])
            pair.client.send_data(stream, data, end_stream=True)
            ends = [dict(each.headers) for each in pair.pump() if isinstance(each, ResponseReceived)]
            self.assertEqual(ends[0]["grpc-status"], status, data)
            self.assertEqual(pair.answer(CHECK_PATH, ""), ([1], "0"))  # the connection goes on
        pair = Pair()
        pair.ask(CHECK_PATH, "", [each for each in HEADERS if each[0] != "content-type"])
        heads = [dict(each.headers) for each in pair.pump() if isinstance(each, ResponseReceived)]
        self.assertEqual([each[":status"] for each in heads], ["415"])

    def flooded(self, pair: Pair, code: ErrorCodes) -> None:
        ended = [each for each in pair.seen if isinstance(each, ConnectionTerminated)]
        self.assertTrue(pair.session.is_closed)
        self.assertEqual([each.error_code for each in ended], [code])

    def test_floods_end_the_connection(self) -> None:
        def reset(pair: Pair) -> None:
            pair.client.reset_stream(pair.ask(CHECK_PATH, ""), ErrorCodes.CANCEL)

        for what in (
            lambda pair: pair.client.ping(bytes(8)),
            reset,
            lambda pair: pair.client.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: 70000}),
        ):
            pair = Pair()
            pair.pump()
            for _ in range(MAX_CONTROL_FRAMES + 2):
                if not pair.session.is_closed:
                    what(pair)
                    pair.pump()
            self.flooded(pair, ErrorCodes.ENHANCE_YOUR_CALM)

    def test_control_frames_at_a_common_pace_are_no_flood(self) -> None:
        pair = Pair()
        for _ in range(MAX_CONTROL_FRAMES * 3):
            pair.now += 1.0
            pair.client.ping(bytes(8))
            pair.pump()
        self.assertEqual(pair.answer(CHECK_PATH, ""), ([1], "0"))

    def test_a_peer_that_gives_no_sign_of_life_is_not_kept(self) -> None:
        pair = Pair()
        pair.answer(WATCH_PATH, "")
        self.assertTrue(pair.session.keep_alive())
        pair.pump()  # it answers
        self.assertTrue(pair.session.keep_alive())
        self.assertFalse(pair.session.keep_alive())  # and now it did not

    def test_streams_and_heads_are_bounded(self) -> None:
        pair = Pair()
        pair.pump()
        pair.client.remote_settings.max_concurrent_streams = MAX_STREAMS + 10  # as one that heeds no limit
        for _ in range(MAX_STREAMS + 1):
            pair.ask(WATCH_PATH, "")
        pair.pump()
        self.assertTrue(pair.session.is_closed or len(pair.session.calls) <= MAX_STREAMS)
        pair = Pair()
        pair.ask(CHECK_PATH, "", [*HEADERS, ("x-long", "y" * (MAX_HEADER_BYTES + 1))])
        pair.pump()
        self.assertTrue(pair.session.is_closed or any(isinstance(each, StreamReset) for each in pair.seen))

    @given(st.lists(st.binary(max_size=40), max_size=8))
    def test_any_bytes_never_raise(self, pieces) -> None:
        session = GrpcSession(lambda: UP)
        session.receive(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 0.0)
        for piece in pieces:
            if not session.is_closed:
                session.receive(piece, 0.0)
        session.pending_output()

    @given(st.binary(max_size=40))
    def test_any_message_is_a_name_or_an_error(self, data: bytes) -> None:
        try:
            self.assertIsInstance(parse_service(data), str)
        except ValueError:
            pass

    @given(st.text(max_size=40))
    def test_names_are_read_as_protobuf_writes_them(self, name: str) -> None:
        self.assertEqual(parse_service(health_pb2.HealthCheckRequest(service=name).SerializeToString()), name)


class Published(unittest.TestCase):
    """grpcio's own client against the daemon."""

    def test_check_and_watch_through_a_drain(self) -> None:
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
            asked = health_pb2.HealthCheckRequest()
            self.assertEqual(stub.Check(asked, timeout=WAIT_TIMEOUT_S).status, 1)
            with self.assertRaises(grpc.RpcError) as unknown:
                stub.Check(health_pb2.HealthCheckRequest(service="nobody"), timeout=WAIT_TIMEOUT_S)
            self.assertEqual(unknown.exception.code(), grpc.StatusCode.NOT_FOUND)
            daemon.process.terminate()
            self.assertEqual(next(watch).status, health_pb2.HealthCheckResponse.NOT_SERVING)
            self.assertEqual(stub.Check(asked, timeout=WAIT_TIMEOUT_S).status, 2)
        self.assertEqual(daemon.wait()[0], 0)
        self.assertNotIn("Traceback", daemon.said())


if __name__ == "__main__":
    unittest.main()
