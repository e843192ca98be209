"""Network layer: HTTP, peer links, and the event loop drivers of the core."""
