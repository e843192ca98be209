"""Explains from the logs of hosts why jobs missed their target times."""
