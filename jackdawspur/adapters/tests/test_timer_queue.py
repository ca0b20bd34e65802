"""Tests that timers call back once, in order, and keep the poller from waiting."""

from circuits.core.events import generate_events


def poll(loop):
    """Return how long a poller would be allowed to wait."""
    event = generate_events(loop.root._lock, -1)
    loop.timer_queue._on_generate_events(event)
    return event.time_left


def test_loop_does_not_wait_after_a_timer_fired_events(loop):
    """Guards against a long poll of an idle upstream that never gets its reply.

    The timer fired the event of the reply, and the poller then waited forever.
    """
    called = []
    loop.timer_queue.call_later(2.0, lambda: called.append("late"))
    loop.timer_queue.call_later(1.0, lambda: called.append("early"))
    cancelled = loop.timer_queue.call_later(0.5, lambda: called.append("dropped"))
    cancelled.cancel()
    assert poll(loop) == 1.0
    loop.now += 1.0
    assert poll(loop) == 0
    assert poll(loop) == 1.0
    loop.now += 5.0
    assert poll(loop) == 0
    assert called == ["early", "late"]
    assert poll(loop) == -1
