"""Imports every policy, so that the registry knows it."""

from godwitnotch.core import baselines  # noqa: F401
