"""Whether keys may be judged by the configuration that this host knows.

A host that the store does not answer can't tell whether its configuration is current. Strict
deployments then refuse all keys, since one that was taken away must not work for long. The others
go on accepting the keys last known, unless a peer knows a newer configuration than this host: an
outage of the store by itself takes no key away. In either case a route or key that is not known is
refused for good only while the configuration is proved to be current to within the time for changes
to be in force, and no newer one is known to exist: a host that is late asks callers to come back.
"""

from yewloom.configuration import ConfigurationBook

PROOF_SHARE = 0.76
"""Part of the time allowed for taking keys away for which a proof of the configuration holds. Of
5 s, 1.2 s are left: a watch may hear nothing for a second before it is cut, and the request has
some milliseconds to go."""


class KeyTrust:
    """Judges the configuration's age for accepting and for refusing keys."""

    def __init__(
        self,
        book: ConfigurationBook,
        key_revocation_s: float,
        configuration_apply_s: float,
        needs_proof: bool,
    ) -> None:
        self._book = book
        self._proof_holds_s = key_revocation_s * PROOF_SHARE
        self._configuration_apply_s = configuration_apply_s
        self._needs_proof = needs_proof

    def may_accept(self, now_s: float) -> bool:
        """Tell whether a known key may be accepted."""
        if self._book.age_s(now_s) <= self._proof_holds_s:
            return True
        return not self._needs_proof and not self._book.is_outdated

    def may_refuse(self, now_s: float) -> bool:
        """Tell whether a route or key that is not known may be refused for good."""
        is_late = self._book.age_s(now_s) > self._configuration_apply_s
        return not is_late and not self._book.is_outdated
