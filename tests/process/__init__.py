"""Tests that run real processes, and what they share."""
