"""Results of the command-line tool for people and for pipes."""
