"""Start an instance on the users' platform."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the instance, and return the exit status of the process."""
    # The default action would end a process that is still importing its modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabhoist.platform import instance

    return instance.run()


if __name__ == "__main__":
    sys.exit(main())
