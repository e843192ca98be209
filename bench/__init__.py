"""Benchmarks, load generators and reference schedulers of godwitnotch.

Some run real host processes, others only the decision code on a virtual clock.
"""
