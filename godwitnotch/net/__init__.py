"""HTTP, peer links and the loop that drives the decisions."""
