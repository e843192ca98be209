"""Imports every policy, so that the registry knows it."""

from godwitnotch.core import baselines  # noqa: F401
from godwitnotch.core import credit_scheduler  # noqa: F401
