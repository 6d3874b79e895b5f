"""`python -m spanwing`: without arguments the daemon, as the platform runs it; with arguments a command."""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the daemon, or the command that the arguments name; returns the exit status."""
    if len(sys.argv) > 1:
        from spanwing.cli.main import main as command  # click is loaded only for a command

        return command()
    from spanwing.daemon import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
