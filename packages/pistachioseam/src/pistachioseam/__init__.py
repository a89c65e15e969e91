"""Routing decisions for language-model requests, without I/O."""
