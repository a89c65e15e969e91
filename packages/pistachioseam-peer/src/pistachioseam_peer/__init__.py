"""The protocol between entry hosts, over grpclib."""
