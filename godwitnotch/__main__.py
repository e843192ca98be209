"""Entry point of `python -m godwitnotch`: the command line."""

from godwitnotch import cli

cli.main()
