"""The command `python -m brassfall`; each group of commands has a module here."""
