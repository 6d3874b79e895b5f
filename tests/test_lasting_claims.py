"""Claims on Faktory jobs that must never run twice outlast a restart, also without a [store] table."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

import pytest
from player import SETTINGS, Daemon, config, member
from standins import FaktoryClient
from test_termination_races import ListenerStandIn, encode_push

from spanwing.config import load_configuration

FAKTORY = '[faktory]\nlisten = "127.0.0.1:0"\n'
JID = "job-00001"


class RestartTests(unittest.TestCase):
    def push(self, daemon: Daemon) -> FaktoryClient:
        """Pushes the job; its outcome is not read yet."""
        client = FaktoryClient(daemon)
        self.addCleanup(client.close)
        client.socket.sendall(encode_push("schedule-apply", JID))
        return client

    def test_job_that_is_pushed_again_after_a_restart(self) -> None:
        """Guards against a second run, as the claim was in the memory of the process that has ended."""
        with tempfile.TemporaryDirectory() as folder:
            fronts = Path(folder) / "fronts.toml"
            fronts.write_text(FAKTORY)
            listener = ListenerStandIn(self)
            for is_restarted in (False, True):
                daemon = Daemon(
                    {**config([member("w1", listener.port)]), "name": "n0"},
                    "",
                    environment={"SPANWING_FRONTS": str(fronts)},
                ).wait_until_ready()
                self.addCleanup(daemon.close)
                client = self.push(daemon)
                if not is_restarted:
                    worker = listener.accept()
                    worker.read_message()
                    worker.respond(200, b"served")
                self.assertEqual(client.file.readline(), b"+OK\r\n")  # at last the outcome that is known
                daemon.process.terminate()
                self.assertEqual(daemon.wait()[0], 0)
            self.assertTrue(listener.has_no_connection())


class DirectoryTests(unittest.TestCase):
    @pytest.fixture(autouse=True)
    def _folder(self, tmp_path: Path) -> None:
        self.folder = tmp_path

    def load_directory(self, fronts: str, is_unsafe: bool = True, name: str = "n0") -> str:
        """Returns the directory of the store, relative to the folder of the operator's file."""
        classes = [
            {**each, "idempotency": "unsafe" if is_unsafe and each["idempotency"] == "unsafe" else "safe"}
            for each in SETTINGS["classes"][:2]
        ]
        (self.folder / "config.json").write_text(json.dumps({**config(classes=classes), "name": name}))
        (self.folder / "fronts.toml").write_text(fronts)
        files = {
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "SPANWING_FRONTS": str(self.folder / "fronts.toml"),
        }
        return load_configuration(files).store.directory.removeprefix(f"{self.folder}/")

    def test_directory_of_the_store(self) -> None:
        self.assertEqual(self.load_directory(FAKTORY), "claims-n0")
        self.assertEqual(self.load_directory(FAKTORY, name="a/b"), "claims-a%2Fb")
        self.assertEqual(self.load_directory(FAKTORY, name=""), "claims-alone")
        self.assertEqual(self.load_directory(FAKTORY + '[store]\ndirectory = "/elsewhere"\n'), "/elsewhere")

    def test_no_directory_where_no_claim_is_needed(self) -> None:
        self.assertEqual(self.load_directory(FAKTORY, is_unsafe=False), "")
        self.assertEqual(self.load_directory(""), "")


if __name__ == "__main__":
    unittest.main()
