"""Decide where language-model requests run; own no socket and no clock."""
