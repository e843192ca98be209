"""Dispatcher logic without I/O: it reads no clock, socket or global RNG."""
