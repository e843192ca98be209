"""Imports all scheduling policies, which registers them."""

from godwitnotch.core import baselines  # noqa: F401
from godwitnotch.core import credit_scheduler  # noqa: F401
