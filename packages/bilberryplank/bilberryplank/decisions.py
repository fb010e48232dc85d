"""Recent decisions of a process."""

from bilberryplank._decisions import Decision, DecisionJournal, DecisionStep

__all__ = ["Decision", "DecisionJournal", "DecisionStep"]
