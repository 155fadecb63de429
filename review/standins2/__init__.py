"""Stand-ins and a launcher for the cases of the second review; standard library only."""
