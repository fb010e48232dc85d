"""The daemon of bilberryplank: entry and sidecar."""
