"""Endpoint registry of the emulated discovery service: changes since a version, or the complete list."""

from __future__ import annotations

from lugtally.testbed.emulator import endpoint_registry


def test_registry_returns_changes_or_full_list_by_version() -> None:
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
    assert not registry.update(removed), "a removed server cannot be removed again"
    assert registry.changes_since(1) == (False, [removed])
    assert len(registry.changes_since(None).entries) == 2
    assert registry.changes_since(99).is_full, "the version is later than the last one, so it is from another list"
    for number in range(endpoint_registry.MAX_CHANGES + 5):
        registry.update(endpoint_registry.EndpointEntry("s0", "z", 0, "ready", number + 1))
    assert registry.changes_since(2).is_full, "the changes since this version are no longer stored"
