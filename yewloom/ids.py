"""Identifier types."""

from typing import NewType

HostId = NewType("HostId", str)
"""Name of an endpoint host in the platform's list."""

EntryHostId = NewType("EntryHostId", str)
"""Name of an entry host, one daemon each."""

DataCentreId = NewType("DataCentreId", str)
GroupId = NewType("GroupId", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
"""Names one write to the platform, so that a lost answer can be settled."""

ModelName = NewType("ModelName", str)
PolicyName = NewType("PolicyName", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
RowName = NewType("RowName", str)
"""Kind and name of a table row, for example ``policy/hotel``."""

IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", int)
"""Names what a request asks, 64 bits: repeats of one request share it, and nothing else does."""
