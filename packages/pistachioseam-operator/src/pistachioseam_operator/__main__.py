"""Run `pistachioseam` as a module."""

from pistachioseam_operator import command

command.main()
