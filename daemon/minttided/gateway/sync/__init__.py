"""News between hosts: what the store holds, and what each host has running."""
