"""What must hold under drawn faults."""

from dataclasses import dataclass

from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.front.tests.faulty_parts import Attempt, Caller

__all__ = ["Finding", "find"]

REFUSED = (429, 503)
FAILED = b'{"state":"failed"}'


@dataclass(frozen=True)
class Finding:
    """Name a rule that was broken, and where."""

    rule: str
    detail: str


def find(world: FaultyWorld, last: list[Caller]) -> list[Finding]:
    """Return the rules that were broken."""
    found = []
    if world.counters.two_at_once:
        found.append(Finding("TWICE", str(world.counters.two_at_once)))
    if world.counters.over_capacity:
        found.append(Finding("LIMIT", str(world.counters.over_capacity)))
    for caller in world.callers:
        found += [Finding(rule, caller.request.id) for rule in _broken(world, caller)]
    for caller in last:
        reply = caller.attempts[0].reply
        if reply is None or reply.status != 200:
            name = caller.attempts[0].life.name
            found.append(Finding("SERVES", f"{name} {reply and reply.status}"))
    return found


def _broken(world: FaultyWorld, caller: Caller) -> list[str]:
    replies = [one.reply for one in caller.attempts if one.reply is not None]
    broken = []
    refused = [one.status in REFUSED for one in replies]
    if refused and all(refused) and len(replies) == len(caller.attempts):
        if caller.tasks & world.counters.started:
            broken.append("REFUSED")
    ended = [one for one in caller.attempts if one.reply and one.reply.status == 200]
    done = [one for one in ended if one.reply.body != FAILED]
    if not all(one.whole for one in done):
        broken.append("COMPLETED")
    if len(done) < len(ended) and not caller.tasks & world.counters.crashed:
        broken.append("FAILED")
    if any(not _in_time(one) for one in caller.attempts):
        broken.append("ANSWER")
    return broken


def _in_time(asked: Attempt) -> bool:
    """Tell whether a caller had its answer, as far as its host could give one."""
    ends = asked.sent_at + asked.waits_s
    stood_still = any(
        froze < ends and thawed > asked.sent_at
        for froze, thawed in asked.life.stood_still
    )
    return stood_still or not asked.in_vain
