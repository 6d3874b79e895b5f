"""`python -m spanwing`: bare it is the daemon, as the platform runs it; with arguments a command."""

from __future__ import annotations

import sys


def main() -> int:
    if len(sys.argv) > 1:
        from spanwing.cli.main import main as command  # click is loaded for a command alone

        return command()
    from spanwing.daemon import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
