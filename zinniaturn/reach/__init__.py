"""
Which pools this VM reaches, and which VMs reach the pools that it doesn't.

A VM whose links to the backend servers are broken sees the same as one before
servers that are all down. Its own observations are compared with what the
other VMs see at the same time.
"""
