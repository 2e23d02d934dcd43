"""Identifier types."""

from typing import NewType

HostId = NewType("HostId", str)
"""Name of an endpoint host in the platform's host list."""

EntryHostId = NewType("EntryHostId", str)
"""Name of an entry host; each runs one daemon."""

DataCentreId = NewType("DataCentreId", str)
GroupId = NewType("GroupId", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
"""Identifies one write to the platform, so that the writer can find it if its response is lost."""

ModelName = NewType("ModelName", str)
PolicyName = NewType("PolicyName", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
RowName = NewType("RowName", str)
"""Kind and name of a table row, for example ``policy/hotel``."""

IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", int)
"""64-bit hash of the content of a request: equal for its retries, different for other requests."""

PromptPart = NewType("PromptPart", int)
"""64-bit identifier of a part of a prompt, which several prompts may share."""
