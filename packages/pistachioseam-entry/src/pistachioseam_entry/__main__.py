"""Run `pistachioseamd` as a module."""

from pistachioseam_entry import command

command.main()
