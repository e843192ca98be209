"""Stand-ins of the platform, its workers and its clients, for the cases."""
