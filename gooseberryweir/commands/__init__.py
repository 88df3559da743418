"""The command line: one small function for each subcommand."""
