"""Runs the command line as `python -m godwitnotch`."""

from godwitnotch import cli

cli.main()
