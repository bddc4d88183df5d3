"""Reloads of the configuration: on SIGHUP, as a whole or not at all."""

from pinspread.config import last_good
from pinspread.config.settings import SettingsError
from pinspread.core.log import log
from pinspread.service.components import Components
from pinspread.service.options import ReloadedSettings, ServiceOptions

FIXED_SETTINGS = ("name", "listen", "state", "admin")  # they count from the next start only


class SettingsReloader:
    """Reads the configuration again and puts it in force.

    Attributes:
        pending: SIGHUP came before there was anything to change.
    """

    def __init__(self, components: Components, options: ServiceOptions) -> None:
        self.pending = False
        self._components = components
        self._read = options.reload
        self._in_force = options.settings

    def request(self) -> None:
        """SIGHUP came: reload, or note it until this process serves."""
        if not self._components.engine.serving:
            self.pending = True
        else:
            self._reload_unless_handed_over()

    def catch_up(self) -> None:
        """This process serves now: reload if that was requested before."""
        if self.pending:
            self._reload_unless_handed_over()

    def _reload_unless_handed_over(self) -> None:
        # A new configuration counts to the end: notifications of a process that stops are still owed.
        if not self._components.engine.successor:
            self.reload()

    def reload(self) -> None:
        """Put the configuration in force that was written since: whole, or not at all."""
        old = self._in_force
        try:
            reloaded = self._read(old)
        except SettingsError as error:
            log("configuration_unusable", error=str(error), instead="what was in force")
            return
        self._in_force = reloaded.settings
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
