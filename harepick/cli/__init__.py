"""The command-line program `harepick`; each command imports what it needs only when it runs."""
