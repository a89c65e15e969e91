"""The operators command line, pistachioseam."""
