"""The calls that stand at one setup server, and the connections on which it may report their ends."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from harepick.net.server_connection import ServerConnection

MAX_DIALOGS = 16_384  # standing calls remembered for their release


@dataclass(frozen=True, slots=True)
class Dialog:
    """The SIP dialog of a standing call."""

    number: bytes  # the number called, for the BYE
    since: float  # when the call was answered, clock time in seconds
    # Of the set-up. The server reports the end of the call there, if that connection is still open.
    connection: ServerConnection


class StandingCalls:
    """The dialogs of the calls that stand at one server, oldest first, and how many each connection has.

    At `MAX_DIALOGS`, the oldest is forgotten."""

    def __init__(self) -> None:
        self._dialogs: OrderedDict[str, Dialog] = OrderedDict()
        self._calls_by_connection: Counter[ServerConnection] = Counter()

    def __len__(self) -> int:
        return len(self._dialogs)

    def get(self, call: str) -> Dialog | None:
        """Returns the dialog of a call; None if it does not stand."""
        return self._dialogs.get(call)

    def add(self, call: str, dialog: Dialog) -> None:
        """Adds a call that stands; it replaces one of the same id."""
        self.end(call)
        self._dialogs[call] = dialog
        self._calls_by_connection[dialog.connection] += 1
        if len(self._dialogs) > MAX_DIALOGS:
            self.end(next(iter(self._dialogs)))

    def end(self, call: str) -> Dialog | None:
        """Removes a call and returns its dialog; None if it did not stand."""
        dialog = self._dialogs.pop(call, None)
        if dialog is not None:
            self._calls_by_connection[dialog.connection] -= 1
            if not self._calls_by_connection[dialog.connection]:
                del self._calls_by_connection[dialog.connection]
        return dialog

    def end_answered_before(self, time: float) -> None:
        """Removes the calls answered before `time`, clock time in seconds."""
        for call in [call for call, dialog in self._dialogs.items() if dialog.since < time]:
            self.end(call)

    def clear(self) -> None:
        """Removes all calls."""
        self._dialogs.clear()
        self._calls_by_connection.clear()

    def oldest_heard(self) -> float | None:
        """Returns when the connection that has been silent longest last received anything, clock time in
        seconds; None if no call stands.

        Considers the connections on which the calls were set up, those that have ended included."""
        return min((connection.last_heard for connection in self._calls_by_connection), default=None)

    def count_on(self, connection: ServerConnection) -> int:
        """Returns how many calls stand that were set up on this connection."""
        return self._calls_by_connection[connection]
