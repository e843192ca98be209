"""Benchmarks of godwitnotch, with load generators and baseline schedulers.

Some benchmarks run real host processes; others run the host core or a
scheduler alone, most of them on a virtual clock.
"""
