"""Entry point of `python -m hornbeamgw`."""

from hornbeamgw.commands.main import main

main()
