"""Entry point of the daemon."""

from bilberryplank._main import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
