"""The platform-specific parts of an entry host."""

from collections.abc import Callable
from typing import Protocol

from yewloom.caller_headers import HeaderCodec
from yewloom.configuration import Configuration
from yewloom.departures import Departures
from yewloom.directory import Endpoint
from yewloom.ids import HostId
from yewloom.platforms import Platform, StoredObject
from yewloom.replica_orders import EngineOrders
from yewloom.store_contact import StoreContact
from yewloom.values import value_class


class PlatformRecords(Protocol):
    """Decodes the platform's own kinds of stored objects."""

    configuration_kind: str
    endpoint_kind: str

    def decode_configuration(self, stored: StoredObject) -> Configuration | None:
        """Return a configuration, or None if the object is not one; raises RecordError."""
        ...

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Return an endpoint; raises RecordError."""
        ...

    def endpoint_id(self, key: str) -> HostId:
        """Return the id of the endpoint whose object has this key."""
        ...


@value_class
class PlatformParts:
    """The platform-specific parts of an entry host.

    ``configuration``, ``endpoints``, ``records_store`` and ``stale_store`` access the same store
    with different limits. Responses from ``stale_store`` may be seconds old, but cost the store
    less. ``store_era`` returns the latest era in which it has answered, and ``store_contact`` knows
    when it did. ``departures`` holds what engines say in their answers to orders.
    """

    configuration: Platform
    endpoints: Platform
    records_store: Platform
    stale_store: Platform
    records: PlatformRecords
    codec: HeaderCodec
    orders: EngineOrders
    departures: Departures
    store_contact: StoreContact
    store_era: Callable[[], int] = lambda: 0
