"""The process of an entry host: listeners, clients, timers and the dump."""
