"""Drafts (text generation requests): admission, execution on chains, recovery, resumption."""
