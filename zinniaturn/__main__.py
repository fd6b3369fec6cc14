"""Run the command line as ``python -m zinniaturn``."""

from zinniaturn.commands.main import main

main()
