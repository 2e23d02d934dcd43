"""Wire names of the platform that several modules use.

Some are needed before the main program is imported, so this module imports nothing.
"""

DEADLINE_HEADER = b"yewloom-deadline-ms"
"""Header with the remaining time of a request, in milliseconds."""

LEAVING_HEADER = "server-leaving"
"""Response header by which an endpoint says that it leaves."""

LEAVING_VALUE = "1"

INSTANCE_HEADER = "yewloom-instance-id"
"""Response header with the id of the endpoint that answered."""
