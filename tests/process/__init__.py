"""Tests of real processes, and their shared helpers."""
