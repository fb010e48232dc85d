"""The operators' command of bilberryplank."""
