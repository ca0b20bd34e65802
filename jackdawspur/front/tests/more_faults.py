"""Kinds of faults that some layouts draw beside the others."""

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from jackdawspur.leases import Resources

if TYPE_CHECKING:
    from jackdawspur.front.tests.drawn import Play

__all__ = ["MORE_STILL"]

Fault = Callable[["Play", float], str]

CRASHES_AFTER_S = 0.05
MOST_CRASHES = 4
# What a shrunken upstream has left of its processor capacity, in thousandths.
SHRUNKEN = Resources(15_000, 131_072, 0)
RESTARTS_EVERY_S = 0.6


def crashing_task(play: "Play", seconds: float) -> str:
    """Let a job come whose tasks crash what runs them, beside a change of lead."""
    world, rng = play.world, play.rng
    caller = world.ask(
        rng.choice(play.zones), rng.choice((0.2, 0.9)), rng.randint(1, 3)
    )
    job = caller.request.id
    crashes = [0]
    same_name = rng.random() < 0.5

    def look() -> None:
        for one in list(world.upstreams.values()):
            if crashes[0] < MOST_CRASHES and one.runs_any(job):
                crashes[0] += 1
                fail = world.restart if same_name else world.crash
                fail(one.entry.id, rng.choice((0.02, 0.3)))
        if crashes[0] < MOST_CRASHES:
            world.after(CRASHES_AFTER_S, look)

    look()
    for name in list(world.leaders()):
        world.after(rng.uniform(0.0, 0.6), lambda name=name: _stop_or_kill(play, name))
    return f"{job} {same_name}"


def _stop_or_kill(play: "Play", name: str) -> None:
    if play.world.lives[name].dead:
        return
    if play.rng.random() < 0.5:
        play.world.kill(name)
        play._start_again(name, 0.5)
    else:
        play.world.stop_gracefully(name)
        play._start_again(name, 7.0)


def shrink_upstreams(play: "Play", seconds: float) -> str:
    """Let upstreams have less room for a while, as their entries say at once."""
    up = play._up()
    some = play.rng.sample(up, min(len(up), play.rng.randint(1, 3)))
    kept = [one.entry.capacity for one in some]
    for one in some:
        _set_capacity(play, one, SHRUNKEN)

    def back() -> None:
        for one, capacity in zip(some, kept, strict=True):
            _set_capacity(play, one, capacity)

    play.world.after(seconds, back)
    return f"{[str(one.entry.id) for one in some]} {seconds:.2f}"


def _set_capacity(play: "Play", one, capacity: Resources) -> None:
    world = play.world
    one.guards = True
    one.entry = replace(one.entry, capacity=capacity)
    world.listed = tuple(
        replace(entry, capacity=capacity) if entry.id == one.entry.id else entry
        for entry in world.listed
    )


def lose_power_of_zone(play: "Play", seconds: float) -> str:
    """Let all hosts of a zone die, half of the time with its upstreams."""
    world, rng = play.world, play.rng
    zone = rng.choice(play.zones)
    for name, where in world.zones.items():
        if where == zone:
            world.kill(name)
            play._start_again(name, rng.uniform(0.2, 0.8))
    upstreams = rng.random() < 0.5
    for one in play._up() if upstreams else ():
        if one.entry.id.zone == zone:
            world.crash(one.entry.id, rng.uniform(0.1, 0.5))
    return f"{zone} {upstreams}"


def lose_all_power(play: "Play", seconds: float) -> str:
    """Let all hosts die, and half of the time all upstreams."""
    upstreams = play.rng.random() < 0.5
    for one in play._up() if upstreams else ():
        play.world.crash(one.entry.id, play.rng.uniform(0.1, 0.5))
    play.kill_all(seconds)
    return f"{upstreams}"


def restart_in_turn(play: "Play", seconds: float) -> str:
    """Start hosts again in turn without the store, beside a cut and late orders."""
    world, rng = play.world, play.rng
    told = [play.store_away(seconds), play.cut_zone(rng.uniform(0.3, seconds + 0.3))]
    told.append(play.late_orders(seconds))
    names = list(world.lives)
    rng.shuffle(names)
    for number, name in enumerate(names[: rng.randint(2, len(names))]):
        world.after(number * RESTARTS_EVERY_S, lambda name=name: _turn(play, name))
    return " ".join(told)


def _turn(play: "Play", name: str) -> None:
    if play.world.now < play.ends and not play.world.lives[name].dead:
        play.world.kill(name)
        play._start_again(name, 0.3)


def reset_beside_silence(play: "Play", seconds: float) -> str:
    """Let links of a host go silent just before its callers' connections break."""
    told = play.reset_links(seconds)
    play.world.after(
        play.rng.uniform(0.0, 0.2),
        lambda: [
            play.world.reset(life, number)
            for life, number in play.world.open_calls
            if life.name == told
        ],
    )
    return told


def flap(play: "Play", seconds: float) -> str:
    """Let a zone be cut off again and again, for less than a host counts as lost."""
    world, rng = play.world, play.rng
    zone = rng.choice(play.zones)
    pairs = {frozenset((zone, one)) for one in play.zones if one != zone}
    away_s, back_s = rng.uniform(0.1, 0.6), rng.uniform(0.01, 0.3)
    until = world.now + seconds

    def cut() -> None:
        if world.now < until:
            world.cut |= pairs
            world.after(away_s, heal)

    def heal() -> None:
        world.cut.difference_update(pairs)
        world.after(back_s, cut)

    cut()
    return f"{zone} {away_s:.2f} {back_s:.2f} {seconds:.2f}"


def deafen(play: "Play", seconds: float) -> str:
    """Let no other host hear one, or it none, while upstreams come and leave."""
    world, name = play.world, play._host()
    others = [one for one in world.lives if one != name]
    out = play.rng.random() < 0.7
    pairs = {(name, one) if out else (one, name) for one in others}
    world.one_way |= pairs
    world.storeless.add(name)
    told = play.crash_upstream(0.05) if play._up() else ""

    def back() -> None:
        world.one_way -= pairs
        world.after(play.rng.uniform(0.0, 0.5), lambda: world.storeless.discard(name))
        for leader in list(world.leaders()):
            if play.rng.random() < 0.5 and leader != name:
                _stop_or_kill(play, leader)

    world.after(seconds, back)
    return f"{name} {out} {told} {seconds:.2f}"


def cut_off_zone(play: "Play", seconds: float) -> str:
    """Cut a zone off from others and the store, while upstreams are replaced."""
    world, rng = play.world, play.rng
    zone = rng.choice(play.zones)
    pairs = {frozenset((zone, one)) for one in play.zones if one != zone}
    away = {name for name, where in world.zones.items() if where == zone}
    world.cut |= pairs
    world.storeless |= away
    up = play._up()
    for one in rng.sample(up, max(0, min(len(up) - 1, rng.randint(1, 2)))):
        world.crash(one.entry.id, rng.choice((0.05, 0.5)))
    # An entry lapses some seconds after its upstream crashed.
    whole_s = max(seconds, rng.choice((0.0, 4.6)))
    world.after(whole_s, lambda: world.cut.difference_update(pairs))
    back_s = whole_s + rng.uniform(0.0, 0.5)
    world.after(back_s, lambda: world.storeless.difference_update(away))
    return f"{zone} {whole_s:.2f} {back_s:.2f}"


MORE_STILL: tuple[Fault, ...] = (
    crashing_task,
    crashing_task,
    shrink_upstreams,
    shrink_upstreams,
    lose_power_of_zone,
    lose_power_of_zone,
    lose_all_power,
    restart_in_turn,
    restart_in_turn,
    reset_beside_silence,
    reset_beside_silence,
    flap,
    deafen,
    cut_off_zone,
    cut_off_zone,
    cut_off_zone,
)
