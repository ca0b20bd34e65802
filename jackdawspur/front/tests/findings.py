"""Rules that must hold under random faults."""

from dataclasses import dataclass

from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.front.tests.faulty_parts import Attempt, Caller

__all__ = ["Finding", "find_broken_rules"]

REFUSED = (429, 503)
FAILED = b'{"state":"failed"}'


@dataclass(frozen=True)
class Finding:
    """A rule that was broken, and where.

    TWICE: two runs of a task at the same time. LIMIT: more runs than an upstream has
    capacity for. REFUSED: a refusal of a job that was started. COMPLETED: a result
    without all tasks. FAILED: a failure although no task ran on a crashed upstream.
    ANSWER: no answer in time. SERVES: a host that does not serve after all faults.
    """

    rule: str
    detail: str


def find_broken_rules(world: FaultyWorld, final_callers: list[Caller]) -> list[Finding]:
    """Return the rules that were broken."""
    found = []
    if world.counters.two_at_once:
        found.append(Finding("TWICE", str(world.counters.two_at_once)))
    if world.counters.over_capacity:
        found.append(Finding("LIMIT", str(world.counters.over_capacity)))
    for caller in world.callers:
        found += [Finding(rule, caller.request.id) for rule in _broken(world, caller)]
    for caller in final_callers:
        reply = caller.attempts[0].reply
        if reply is None or reply.status != 200:
            name = caller.attempts[0].node.name
            found.append(Finding("SERVES", f"{name} {reply and reply.status}"))
    return found


def _broken(world: FaultyWorld, caller: Caller) -> list[str]:
    replies = [a.reply for a in caller.attempts if a.reply is not None]
    broken = []
    refused = [reply.status in REFUSED for reply in replies]
    if refused and all(refused) and len(replies) == len(caller.attempts):
        if caller.tasks & world.counters.started:
            broken.append("REFUSED")
    ended = [a for a in caller.attempts if a.reply and a.reply.status == 200]
    done = [attempt for attempt in ended if attempt.reply.body != FAILED]
    if not all(attempt.all_done for attempt in done):
        broken.append("COMPLETED")
    if len(done) < len(ended) and not caller.tasks & world.counters.crashed:
        broken.append("FAILED")
    if any(not _in_time(attempt) for attempt in caller.attempts):
        broken.append("ANSWER")
    return broken


def _in_time(attempt: Attempt) -> bool:
    """Return False if the timeout passed without an answer or a pause of the host."""
    timeout_at = attempt.sent_at + attempt.timeout_s
    pauses = any(
        paused_at < timeout_at and resumed_at > attempt.sent_at
        for paused_at, resumed_at in attempt.node.pauses
    )
    return pauses or not attempt.unanswered
