"""Command line of pistachioseam for operators."""
