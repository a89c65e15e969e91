"""Entry point of `python -m pistachioseam_entry`."""

from pistachioseam_entry import command

command.main()
