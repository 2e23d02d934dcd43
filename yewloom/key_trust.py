"""Decides whether the known configuration is recent enough to accept or refuse API keys.

A host that cannot reach the store does not know whether its configuration is current. In strict
deployments it then refuses all keys, since a revoked key must stop working soon. In others it keeps
accepting the keys that it knows, unless a peer reports a newer configuration: a store outage alone
does not revoke keys.

In both cases an unknown route or key gets a permanent refusal only if the configuration was
confirmed within the time allowed for changes to take effect and no newer one is known to exist.
Otherwise callers are asked to retry, since this host may lag behind.
"""

from yewloom.configuration import ConfigurationState

CONFIRMATION_FRACTION = 0.76
"""Fraction of the key revocation time for which a confirmation of the configuration is valid.

Of 5 s, 1.2 s remain: a watch may be silent for a second before it is aborted, and the request still
takes some milliseconds.
"""


class KeyTrust:
    """Decides by the configuration's age whether keys may be accepted or refused.

    If ``requires_confirmation`` is true, as in strict deployments, keys are accepted only while the
    configuration is confirmed to be recent enough.
    """

    def __init__(
        self,
        configuration_state: ConfigurationState,
        key_revocation_s: float,
        configuration_apply_s: float,
        requires_confirmation: bool,
    ) -> None:
        self._configuration_state = configuration_state
        self._confirmation_ttl_s = key_revocation_s * CONFIRMATION_FRACTION
        self._configuration_apply_s = configuration_apply_s
        self._requires_confirmation = requires_confirmation

    def may_accept(self, now_s: float) -> bool:
        """Return whether a known key may be accepted."""
        if self._configuration_state.age_s(now_s) <= self._confirmation_ttl_s:
            return True
        return not self._requires_confirmation and not self._configuration_state.is_outdated

    def may_refuse_permanently(self, now_s: float) -> bool:
        """Return whether an unknown route or key may be refused permanently."""
        is_too_old = self._configuration_state.age_s(now_s) > self._configuration_apply_s
        return not is_too_old and not self._configuration_state.is_outdated
