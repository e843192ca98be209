"""A dispatcher for jobs of sub-second tasks."""

__version__ = "0.1.0"
