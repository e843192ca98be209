"""Translates the names, formats and calls of the users' platform.

The users' platform runs the hosts, gives each host its settings, and keeps
the configuration and the list of upstreams in its store. Hosts that run with
their own settings file use another service, which is also called the platform;
see net/platform_client.py.

Only this package and the stand-ins use the platform's own words, such as zone,
server or worker, and map them to failure domain and upstream. This package
makes no scheduling decisions.
"""
