"""Adapter to the users' platform: it translates their names and forms, and decides nothing."""
