"""Deliberate defects that the tests have to detect."""
