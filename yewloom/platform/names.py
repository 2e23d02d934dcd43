"""Wire names of the platform that are needed before the main program is imported."""

DEADLINE_HEADER = b"yewloom-deadline-ms"
"""Header with the remaining time of a request, in milliseconds."""
