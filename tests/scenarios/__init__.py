"""Scenario files; each tests one promise under one kind of failure."""
