"""Deadlines call back in order, once, and let the loop go on at once."""

from circuits.core.events import generate_events


def poll(loop):
    """Ask what a poller would be told: how long it may wait."""
    event = generate_events(loop.root._lock, -1)
    loop.timer_queue._on_generate_events(event)
    return event.time_left


def test_loop_never_waits_on_events_of_a_deadline(loop):
    """A long poll's time is up on an idle upstream, and yet no answer comes.

    The deadline fired the reply's event, and the poller then waited without end.
    """
    called = []
    loop.timer_queue.call_later(2.0, lambda: called.append("late"))
    loop.timer_queue.call_later(1.0, lambda: called.append("early"))
    dropped = loop.timer_queue.call_later(0.5, lambda: called.append("dropped"))
    dropped.cancel()
    assert poll(loop) == 1.0
    loop.now += 1.0
    assert poll(loop) == 0
    assert poll(loop) == 1.0
    loop.now += 5.0
    assert poll(loop) == 0
    assert called == ["early", "late"]
    assert poll(loop) == -1
