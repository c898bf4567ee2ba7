"""The entry point of `minttide`."""


def main() -> None:
    """Run the command line."""
