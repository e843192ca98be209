"""Scenario files, one a promise and failure."""
