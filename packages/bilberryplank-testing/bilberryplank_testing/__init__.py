"""Fakes, load tool and scenario steps; never imported by the other packages."""
