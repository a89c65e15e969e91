"""Processes of the two kinds of hosts.

`process` is that of entry hosts, `call_process` that of hosts that forward
calls.
"""
