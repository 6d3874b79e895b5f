"""A scheduler that follows the state of the zones has it before it accepts clients."""

from __future__ import annotations

import socket
import time
import unittest

from player import Daemon, config, member

from spanwing.zones.service import FIRST_CONTACT_TIMEOUT_S


class FirstContact(unittest.TestCase):
    def test_a_start_waits_for_the_state_of_the_zones_but_not_for_ever(self) -> None:
        """Guards against a start that takes all zones for open, also those that the fleet has left."""
        silent_member = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent_member.close)
        port = silent_member.getsockname()[1]
        began_s = time.monotonic()
        daemon = Daemon(config([member("w1", 9)]), f'[zones]\nmembers = {{ a = "127.0.0.1:{port}" }}\n')
        self.addCleanup(daemon.close)
        daemon.wait_until_ready()
        self.assertGreater(time.monotonic() - began_s, FIRST_CONTACT_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
