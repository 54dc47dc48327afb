"""The core: one task that owns the decision module, and the table of open calls. It knows no protocol."""
