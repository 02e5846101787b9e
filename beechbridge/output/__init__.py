"""Output of the command-line tool, for terminals and for programs."""
