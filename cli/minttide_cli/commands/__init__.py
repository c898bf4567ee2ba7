"""One module for each subcommand."""
