"""Decisions of the dispatcher, free of clocks, sockets and chance."""
