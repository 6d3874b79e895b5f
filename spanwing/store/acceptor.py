"""The acceptor of CASPaxos: one member's registers, with their promised ballots and accepted values."""

from __future__ import annotations

import msgspec

from spanwing.store.disk import RegisterLog
from spanwing.store.messages import NO_BALLOT, Accept, Ping, Prepare, ReadRegister, Register, RegisterReply


class Acceptor:
    """Answers proposers. With a log, a reply tells only of state that is already on disk."""

    def __init__(self, log: RegisterLog | None) -> None:
        self.log = log
        self.registers: dict[str, Register] = log.registers if log else {}

    def handle_message(self, message: Prepare | Accept | ReadRegister | Ping) -> RegisterReply:
        """Returns the reply to a proposer; a new state of the register is saved first.

        Raises OSError if the log cannot save it.
        """
        if isinstance(message, Ping):
            return RegisterReply(message.message_id, True, NO_BALLOT)
        register = self.registers.get(message.key) or Register(message.key)
        if isinstance(message, ReadRegister):
            return RegisterReply(
                message.message_id, True, register.promised_ballot, register.accepted_ballot, register.value
            )
        if isinstance(message, Prepare):
            granted = message.ballot > register.promised_ballot
            changed = msgspec.structs.replace(register, promised_ballot=message.ballot)
        else:
            granted = message.ballot >= register.promised_ballot
            changed = Register(message.key, message.ballot, message.ballot, message.value)
        if granted:
            if self.log is not None:
                self.log.save(changed)
            self.registers[message.key] = register = changed
        return RegisterReply(
            message.message_id, granted, register.promised_ballot, register.accepted_ballot, register.value
        )
