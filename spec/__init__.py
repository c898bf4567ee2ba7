"""Small specifications of the protocols on the log, checked exhaustively."""
