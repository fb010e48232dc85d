"""The shared configuration."""

from bilberryplank_core._configuration import Configuration, ConfigurationParts

__all__ = ["Configuration", "ConfigurationParts"]
