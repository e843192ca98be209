"""In-memory stand-ins for the platform and the upstreams, for tests."""
