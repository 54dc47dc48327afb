"""The core: one task that owns the decision module, and the ledger of its calls. It knows no wire."""
