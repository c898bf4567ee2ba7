"""Small formal models of the protocols on the log, checked by exhaustive state search."""
