"""Entry host process: listeners, target and peer clients, admin interface."""
