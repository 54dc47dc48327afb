"""The command line: thin; each command loads what it needs when it runs."""
