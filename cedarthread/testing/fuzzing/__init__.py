"""Fuzzing: targets, the call machine on virtual time, model checking, injected defects."""
