"""Adapter to the users' platform: translates its names and formats, and makes no decisions."""
