"""Network layer: HTTP, peer links, and the runtimes of the host core."""
