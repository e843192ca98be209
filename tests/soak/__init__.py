"""Soak: hosts, upstreams and a store as real processes, with faults."""
