"""`python -m spanwing`: runs the daemon without arguments, as the platform does, or else a command."""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the daemon, or the command that the arguments name, and returns the exit status."""
    if len(sys.argv) > 1:
        from spanwing.cli.main import main as run_command  # click is loaded only for a command

        return run_command()
    from spanwing.daemon import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
