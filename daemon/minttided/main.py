"""The entry point of `minttided`."""


def main() -> None:
    """Run the daemon."""
