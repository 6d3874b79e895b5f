"""The acceptor: one member's registers, with its promises and accepted values."""

from __future__ import annotations

import msgspec

from spanwing.store.disk import RegisterLog
from spanwing.store.messages import NO_BALLOT, Accept, Ping, Prepare, ReadRegister, Register, RegisterReply


class Acceptor:
    """Answers proposers; with a log, only with what is already on disk."""

    def __init__(self, log: RegisterLog | None) -> None:
        self.log = log
        self.registers: dict[str, Register] = log.registers if log else {}

    def handle_message(self, message: Prepare | Accept | ReadRegister | Ping) -> RegisterReply:
        """Returns the reply to a proposer, after the log has saved what it says."""
        if isinstance(message, Ping):
            return RegisterReply(message.message_id, True, NO_BALLOT)
        register = self.registers.get(message.key) or Register(message.key)
        if isinstance(message, ReadRegister):
            return RegisterReply(
                message.message_id, True, register.promised, register.accepted_ballot, register.value
            )
        if isinstance(message, Prepare):
            granted = message.ballot > register.promised
            changed = msgspec.structs.replace(register, promised=message.ballot)
        else:
            granted = message.ballot >= register.promised
            changed = Register(message.key, message.ballot, message.ballot, message.value)
        if granted:
            if self.log is not None:
                self.log.save(changed)
            self.registers[message.key] = register = changed
        return RegisterReply(
            message.message_id, granted, register.promised, register.accepted_ballot, register.value
        )
