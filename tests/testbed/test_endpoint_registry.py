"""The registry behind the emulated discovery service."""

from __future__ import annotations

from lugtally.testbed.emulator import endpoint_registry


def test_the_registry_gives_changes_or_the_full_list_to_a_reader_too_far_behind() -> None:
    entries = [endpoint_registry.EndpointEntry(f"s{number}", "z", 0, "ready", 0) for number in range(3)]
    registry = endpoint_registry.EndpointRegistry(list(entries))
    assert registry.changes_since(None) == (True, entries)
    assert registry.changes_since(1) == (False, [])
    draining = endpoint_registry.EndpointEntry("s1", "z", 0, "draining", 0)
    assert registry.update(draining)
    assert not registry.update(draining)
    assert registry.changes_since(1) == (False, [draining])
    assert registry.changes_since(2) == (False, [])
    removed = endpoint_registry.EndpointEntry("s1", "z", 0, "gone", 0)
    assert registry.update(removed)
    assert not registry.update(removed), "what was removed cannot be removed again"
    assert registry.changes_since(1) == (False, [removed])
    assert len(registry.changes_since(None)[1]) == 2
    assert registry.changes_since(99)[0], "a version from another incarnation of the list"
    for turn in range(endpoint_registry.MAX_CHANGES + 5):
        registry.update(endpoint_registry.EndpointEntry("s0", "z", 0, "ready", turn + 1))
    assert registry.changes_since(2)[0], "too far behind"
