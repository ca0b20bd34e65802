"""Long tasks keep off upstreams whose pace nobody has seen yet."""

from dataclasses import replace

from jackdawspur.model import UpstreamId
from jackdawspur.runs.tests.conftest import PATIENT, Leading

USUAL_S = 0.2
SLOWER = 1.4
# A task of the usual time is in time, one that takes 1.4 times as long isn't.
NEARLY_ALL_S = 0.25
SMALL_KIND, LARGE_KIND = "k-small", "k-large"
LESSONS = 20


def end_all(leading: Leading, keep: UpstreamId | None = None) -> None:
    """Let all tasks end, but those on one upstream."""
    for one, upstream in leading.upstreams.items():
        for task in list(upstream.running) if one != keep else ():
            upstream.end(task)
    leading.settle()


def teach(leading: Leading, slow: UpstreamId | None = None) -> None:
    """Let jobs of two tasks show the paces of the first two upstreams."""
    for number in range(LESSONS):
        deadline = leading.now + 5.0
        leading.offer(f"t{number}", 2, PATIENT, each=1, deadline=deadline)
        leading.settle()
        leading.advance(USUAL_S, step_s=USUAL_S)
        end_all(leading, keep=slow)
        later_s = USUAL_S * (SLOWER - 1.0)
        leading.advance(later_s, step_s=later_s)
        end_all(leading)


def use_a_little(leading: Leading, one: UpstreamId, tasks: int) -> None:
    """Leave one task on an upstream, which then is the fullest."""
    deadline = leading.now + 9.0
    leading.offer("filler", tasks, PATIENT, each=1, deadline=deadline)
    leading.settle()
    end_all(leading, keep=one)
    assert [u.id for u in leading.upstreams.values() if u.running] == [one]


def test_a_long_task_starts_on_an_upstream_that_is_known_to_be_usual():
    # Guards against long tasks on upstreams that nobody has seen work.
    leading = Leading(upstreams=3)
    leading.lead()
    *known, unknown = leading.upstreams
    teach(leading)
    use_a_little(leading, unknown, tasks=3)
    leading.offer("aa", deadline=leading.now + NEARLY_ALL_S)
    leading.settle()
    (place,) = leading.running()["aa.0.0.0"]
    assert place in known


def test_an_upstream_counts_as_fast_as_others_of_its_kind_until_it_is_known():
    # Guards against learning the pace of a kind upstream by upstream.
    leading = Leading(upstreams=4)
    small, large, new_large, new_small = leading.upstreams
    kinds = {small: SMALL_KIND, large: LARGE_KIND}
    kinds |= {new_large: LARGE_KIND, new_small: SMALL_KIND}
    entries = [replace(leading.entry(u), labels=(k,)) for u, k in kinds.items()]
    listed_at = leading.now - 60.0
    leading.dispatcher.set_upstreams(entries[:2], listed_at)
    leading.lead()
    teach(leading, slow=large)
    drained = [replace(one, draining=one.id in (small, large)) for one in entries]
    leading.dispatcher.set_upstreams(drained, leading.now)
    leading.dispatcher.update_peer_lists(len(drained), leading.now)
    leading.advance(0.05)
    use_a_little(leading, new_large, tasks=2)
    leading.offer("aa", deadline=leading.now + NEARLY_ALL_S)
    leading.settle()
    assert leading.running()["aa.0.0.0"] == [new_small]
