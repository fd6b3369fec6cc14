"""Runs the gateway on the platform: ``python -m zinniaturn.platform``."""

import signal
import sys

# Until the process watches its settings file, a change of it is read anyway. By
# default the signal would end the process while its modules are loaded.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Nothing here uses TLS, and loading ssl takes a fifth of the process's memory.
sys.modules.setdefault('ssl', None)  # type: ignore[arg-type]

from zinniaturn.platform.running import main  # noqa: E402

main(sys.argv[1:])
