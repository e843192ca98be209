"""Decides about jobs whose tasks run under leases at upstreams."""
