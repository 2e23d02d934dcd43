"""What an entry host needs of the platform that it runs on."""

from typing import Protocol

from yewloom.caller_headers import HeaderCodec
from yewloom.configuration import Configuration
from yewloom.directory import Endpoint
from yewloom.ids import HostId
from yewloom.platforms import Platform, StoredObject
from yewloom.replica_orders import EngineOrders
from yewloom.values import value_class


class PlatformRecords(Protocol):
    """Decodes what the platform's own kinds of objects hold."""

    configuration_kind: str
    endpoint_kind: str

    def decode_configuration(self, stored: StoredObject) -> Configuration | None:
        """Return a configuration, or None if the object is not one; raises RecordError."""
        ...

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Return an endpoint; raises RecordError."""
        ...

    def endpoint_id(self, key: str) -> HostId:
        """Return the endpoint that an object's key names."""
        ...


@value_class
class PlatformParts:
    """What an entry host needs of the platform that it runs on.

    ``configuration``, ``endpoints``, ``records_store`` and ``stale_store`` are one store with
    different bounds; answers of the last may be seconds old and cost less.
    """

    configuration: Platform
    endpoints: Platform
    records_store: Platform
    stale_store: Platform
    records: PlatformRecords
    codec: HeaderCodec
    orders: EngineOrders
