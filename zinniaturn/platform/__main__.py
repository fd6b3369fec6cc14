"""Runs the gateway on the platform: ``python -m zinniaturn.platform``."""

import sys

# Nothing here uses TLS, and loading ssl takes a fifth of the process's memory.
sys.modules.setdefault('ssl', None)  # type: ignore[arg-type]

from zinniaturn.platform.running import main  # noqa: E402

main(sys.argv[1:])
