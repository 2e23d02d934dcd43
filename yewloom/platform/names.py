"""Names of the platform's wire that are needed before the program's long imports."""

DEADLINE_HEADER = b"yewloom-deadline-ms"
"""Header with the milliseconds that are left to a request."""
