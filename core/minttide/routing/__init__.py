"""HTTP routes: which upstream a request goes to, who may send it, and what its end means."""
