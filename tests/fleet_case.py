"""The base of tests that run the stand-ins of a fleet on their event loop."""

from __future__ import annotations

import asyncio
import unittest


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs its event loop without asyncio's debug mode, which the base class turns on.

    In debug mode each callback costs several times as much. On a busy machine the stand-ins then send and
    answer a fraction of the requests, and a test of service judges them in place of the schedulers.
    """

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
