"""Authenticated messages between hosts, over gRPC (grpclib)."""
