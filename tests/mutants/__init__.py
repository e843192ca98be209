"""Deliberate defects, each of which some test has to catch."""
