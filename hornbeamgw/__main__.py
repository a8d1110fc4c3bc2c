"""Run the command line as a module."""

from hornbeamgw.commands.main import main

main()
