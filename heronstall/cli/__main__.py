"""`python -m heronstall.cli`."""

from heronstall.cli import main

if __name__ == "__main__":
    main()
