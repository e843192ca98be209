"""Translates the names, formats and calls of the users' platform.

Only this package knows the platform's own words, such as zone, server or
worker, and maps them to failure domain and upstream. It makes no scheduling
decisions.
"""
