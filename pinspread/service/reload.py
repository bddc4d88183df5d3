"""Reloads the configuration on SIGHUP, either as a whole or not at all."""

from pinspread.config import last_good
from pinspread.config.settings import SettingsError
from pinspread.core.log import log
from pinspread.service.components import Components
from pinspread.service.options import ReloadedSettings, ServiceOptions

FIXED_SETTINGS = ("name", "listen", "state", "admin")  # changes to these take effect at the next start


class SettingsReloader:
    """Reads the configuration again and applies it.

    Attributes:
        pending: SIGHUP arrived before this process was serving.
    """

    def __init__(self, components: Components, options: ServiceOptions) -> None:
        self.pending = False
        self._components = components
        self._read_settings = options.reload
        self._current_settings = options.settings

    def request(self) -> None:
        """Handle SIGHUP: reload now, or once this process serves."""
        if not self._components.engine.serving:
            self.pending = True
        else:
            self._reload_unless_handed_over()

    def reload_if_pending(self) -> None:
        """Reload if that was requested before this process was serving."""
        if self.pending:
            self._reload_unless_handed_over()

    def _reload_unless_handed_over(self) -> None:
        # A process that is stopping still reloads: its remaining notifications use the new configuration.
        if not self._components.engine.successor:
            self.reload()

    def reload(self) -> None:
        """Apply the configuration as it is now; if it is unusable, keep the settings in effect and log it."""
        old = self._current_settings
        try:
            reloaded = self._read_settings(old)
        except SettingsError as error:
            log("configuration_unusable", error=str(error), instead="the settings in effect")
            return
        self._current_settings = reloaded.settings
        self._components.apply_settings(reloaded)
        last_good.save(reloaded.settings)
        at_restart = [
            name for name in FIXED_SETTINGS if getattr(reloaded.settings, name) != getattr(old, name)
        ]
        _log_settings(reloaded, at_restart)


def _log_settings(reloaded: ReloadedSettings, at_restart: list[str]) -> None:
    settings = reloaded.settings
    log(
        "configuration",
        notices=reloaded.notification_address,
        classes={name: rules.traffic_class.effect.value for name, rules in settings.delivery_rules.items()},
        attempts=settings.policy_settings.max_attempts,
        at_restart=at_restart,
    )
