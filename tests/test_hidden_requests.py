"""Values from outside that end up in a head, a line or the log, with characters that would end it.

They guard against a request hidden in a value: a worker would run what no client has sent.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import replace
from unittest import mock

import pytest
from conftest import SAFE, settings
from player import WAIT_TIMEOUT_S, member
from standins import FaktoryClient, read_http
from test_termination_races import (
    ATTEMPT_TIMEOUT_MS,
    ConnectionStandIn,
    DaemonTestCase,
    HttpWorkerTestCase,
    ListenerStandIn,
)

from spanwing.core.messages import DeliveryAttempt, JobRequest
from spanwing.interface import SettingsError
from spanwing.net.address import parse_address
from spanwing.net.http import UnsendableHeadError, encode_request, encode_response, is_field_value
from spanwing.net.http_parser import HttpError, HttpParser
from spanwing.workers import http_worker
from spanwing.workers.connection_pool import MAX_CONNECTIONS
from spanwing.workers.http_worker import job_target

FAKTORY = '[faktory]\nlisten = "127.0.0.1:0"\n'
CONTROL_CHARACTERS = [chr(code) for code in (*range(9), *range(10, 32), 127)]


def hide_request(line_end: str) -> str:
    """Returns an idempotency key that ends its request and holds another one."""
    return line_end.join(
        ["key", "Content-Length: 0", "", "POST /schedule-apply HTTP/1.1", "X-Call-Id: hidden-1", "", ""]
    )


class IdempotencyKeyTests(DaemonTestCase):
    def test_line_ends_in_an_idempotency_key_over_http(self) -> None:
        """Guards against a hidden request that a worker runs, as it takes a single LF for a line end."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port))
        for line_end in ("\n", "\r", "\0"):
            client = ConnectionStandIn(self, self.daemon.connect("clients"))
            lines = (
                "POST /setpoint-push HTTP/1.1",
                "X-Call-Id: job-1",
                f"Idempotency-Key: {hide_request(line_end)}",
                "Content-Length: 0",
            )
            client.socket.sendall("\r\n".join([*lines, "", ""]).encode("latin-1"))
            self.assertIn("400", client.read_message()[0])
        self.assertTrue(listener.has_no_connection())

    def test_line_ends_in_an_idempotency_key_over_faktory(self) -> None:
        """Guards against the same by way of JSON, which can carry whole line ends and any character."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), fronts=FAKTORY)
        client = FaktoryClient(self.daemon)
        self.addCleanup(client.close)
        for key in (
            hide_request("\r\n"),
            hide_request("\n"),
            "a\0",
            "a\x1b",
            " a",
            "a\t",
            "ключ",
            "a" * 9000,
        ):
            custom = {"answer": "outcome", "effect_key": key}
            job = {"jid": "job-0001", "jobtype": "x", "queue": "setpoint-push", "args": [], "custom": custom}
            self.assertRegex(client.ask("PUSH", json.dumps(job)), "^-ERR custom: effect_key")
        self.assertTrue(listener.has_no_connection())


class NameTests(unittest.TestCase):
    def test_class_name_that_no_target_can_carry(self) -> None:
        for name in ("a\r\nX: y", "a/b", "a?b", "a#b", "a\x1b"):
            with pytest.raises(SettingsError, match="^classes: the name ") as raised:
                settings(classes=(replace(SAFE, name=name),))
            assert raised.value.faults == [f"classes: the name {name!a} is not possible"]
        settings(classes=(replace(SAFE, name="status-read_2.x"),))

    def test_address_whose_scope_has_a_control_character(self) -> None:
        """Guards against a worker's address that would end the Host header of a request."""
        assert parse_address("[fe80::1%eth0]:80").host == "fe80::1%eth0"
        for text in ("[fe80::1%a\r\nX: y]:80", "[fe80::1%\n]:80", "127.0.0.1:80\n"):
            with pytest.raises(ValueError, match="not HOST:PORT"):
                parse_address(text)


class FaktoryTextTests(DaemonTestCase):
    def test_control_character_in_a_tenant_or_route_key(self) -> None:
        """Guards against a tenant that writes to the terminal on which the journal is listed."""
        self.start(fronts=FAKTORY)
        client = FaktoryClient(self.daemon)
        self.addCleanup(client.close)
        for field in ("tenant", "route_key"):
            custom = {"answer": "outcome", field: "a\x1b[2K\n"}
            job = {"jid": "job-0001", "jobtype": "x", "queue": "status-read", "args": [], "custom": custom}
            self.assertRegex(client.ask("PUSH", json.dumps(job)), "^-ERR custom: tenant or route_key")


class RequestIdTests(DaemonTestCase):
    def test_jid_that_a_header_cannot_carry_unchanged(self) -> None:
        """Guards against a jid that no worker can be sent: each attempt kept a connection place for good."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), fronts=FAKTORY)
        client = FaktoryClient(self.daemon)
        self.addCleanup(client.close)
        for jid in (
            "\u0437\u0430\u0434\u0430\u0447\u0430-1",
            "job 0001",
            " job0001",
            "job-0001\r\nX: y",
            "short",
            "a" * 201,
        ):
            job = {"jid": jid, "jobtype": "x", "queue": "status-read", "args": []}
            self.assertRegex(client.ask("PUSH", json.dumps(job)), "^-ERR jid needs")
        self.assertTrue(listener.has_no_connection())

    def test_id_of_a_request_names_only_its_own_job_when_it_is_given_up(self) -> None:
        """Guards against an id like `job-1?x` by which another client's job-1 is given up."""
        for request_id, target in (
            ("job-1?x", "/jobs/job-1%3Fx"),
            ("job-1#x", "/jobs/job-1%23x"),
            ("a/../job-1", "/jobs/a%2F..%2Fjob-1"),
            ("job%2D1", "/jobs/job%252D1"),
            ("9b1f03aa-_.~", "/jobs/9b1f03aa-_.~"),
        ):
            with self.subTest(request_id):
                listener = ListenerStandIn(self)
                self.start(member("w1", listener.port))
                client = self.connect_client()
                head = f"POST /status-read HTTP/1.1\r\nX-Call-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
                client.socket.sendall(head.encode("latin-1"))
                worker = listener.accept()
                worker.read_message()
                worker.respond(202)
                self.wait_for_counter("tries", 1)
                client.close()
                self.assertEqual(worker.read_message()[0], f"DELETE {target} HTTP/1.1")
                worker.respond(200)
                self.stop()

    def test_id_with_a_character_beyond_ascii_is_encoded_as_its_header_was(self) -> None:
        self.assertEqual(job_target("job-\u00e9"), "/jobs/job-%E9")

    def test_id_that_is_a_relative_path(self) -> None:
        self.start()
        for request_id in (".", ".."):
            client = self.connect_client()
            client.submit("status-read", request_id)
            self.assertIn("400", client.read_message()[0])


class FailedAttemptTests(HttpWorkerTestCase):
    """An attempt that fails within this process releases its connection place."""

    async def deliver_one_more_than_there_are_places(self, effect_key: str | None) -> list[tuple[str, bool]]:
        """Returns the results of the attempts. One that finds no place would wait for ever."""
        request, results = JobRequest("job-1", "look", 9e3, effect_key=effect_key), []
        for number in range(MAX_CONNECTIONS + 1):
            self.http_worker.deliver(DeliveryAttempt(request, number, ATTEMPT_TIMEOUT_MS), self)
            results.append(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S))
        return results

    async def test_request_that_no_head_can_carry(self) -> None:
        """Such a request comes from a process of an earlier version, in a hot restart."""
        for key in ("a\r\nb", "\u043a\u043b\u044e\u0447"):
            results = await self.deliver_one_more_than_there_are_places(key)
            self.assertEqual(set(results), {("rejected", True)})

    async def test_exception_before_the_attempt_is_sent(self) -> None:
        with mock.patch.object(http_worker, "encode_request", side_effect=RuntimeError), self.assertLogs():
            results = await self.deliver_one_more_than_there_are_places(None)
        self.assertEqual(set(results), {("moot", True)})


class LogTests(DaemonTestCase):
    def test_name_of_a_worker_adds_no_line_to_the_log(self) -> None:
        """Guards against log lines that a worker's name or report makes up."""
        listener = ListenerStandIn(self)
        name = "w1\nERROR rule_violated rule=lost\x1b[2K"
        self.start(member(name, listener.port))
        self.connect_client().submit("status-read", "job-1")
        worker = listener.accept()
        worker.read_message()
        worker.respond(202)
        for state in ("started", "returned"):  # the second one is logged, as the job has started
            event = json.dumps({"id": "job-1", "from": name, "state": state}).encode()
            with self.daemon.connect("clients") as callback:
                callback.sendall(
                    b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(event), event)
                )
                self.assertIn("204", read_http(callback.makefile("rb"))[0])
        with self.daemon.kill_on_timeout():
            while "callback_ignored" not in (log := self.daemon.stderr_text()):
                pass
        self.assertNotIn("\nERROR", log)
        self.assertNotIn("\x1b", log)
        self.assertIn(r"worker=w1\nERROR rule_violated rule=lost\x1b[2K ", log)


class HeadTests(unittest.TestCase):
    def test_no_head_is_written_with_a_control_character(self) -> None:
        for character in CONTROL_CHARACTERS:
            value = f"a{character}b"
            with pytest.raises(UnsendableHeadError, match="Idempotency-Key"):
                encode_request("POST", "/x", {"Idempotency-Key": value})
            with pytest.raises(UnsendableHeadError):
                encode_request("POST", f"/{value}", {})
            with pytest.raises(UnsendableHeadError):
                encode_response(200, headers={"X": value})
        with pytest.raises(UnsendableHeadError, match="Latin-1"):
            encode_request("POST", "/x", {"Idempotency-Key": "ключ"})
        assert b"a: b\tc\xe9" in encode_request("POST", "/x", {"a": "b\tc\u00e9"})

    def test_control_character_in_a_field_value_of_a_request(self) -> None:
        for character in CONTROL_CHARACTERS:
            parser = HttpParser()
            parser.data += f"POST /x HTTP/1.1\r\nKey: a{character}b\r\n\r\n".encode("latin-1")
            with pytest.raises(HttpError) as raised:
                parser.next_message()
            assert raised.value.status == 400
        parser = HttpParser()
        parser.data += b"POST /x HTTP/1.1\r\nKey: a\tb\xe9\r\n\r\n"
        assert parser.next_message().headers["key"] == "a\tb\u00e9"

    def test_control_character_in_a_field_value_of_a_response(self) -> None:
        """Replaced by a space, as RFC 9110 (5.5) allows: a worker's odd header fails no attempt."""
        parser = HttpParser(parses_responses=True)
        parser.data += b"HTTP/1.1 202 X\r\nKey: a\nb\0c\r\nContent-Length: 0\r\n\r\n"
        message = parser.next_message()
        assert (message.status, message.headers["key"]) == (202, "a b c")

    def test_field_value(self) -> None:
        assert all(is_field_value(text) for text in ("", "key", "a b", "a\tb", "\u00e9"))
        bad_texts = (" a", "a ", "\ta", "\u0100", "a\r\nb", *CONTROL_CHARACTERS)
        assert not any(is_field_value(text) for text in bad_texts)
