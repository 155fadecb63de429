"""State that lives in an entry and the loops that keep it current."""
