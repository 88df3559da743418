"""HTTP interface for operators, on a separate port of each host."""
