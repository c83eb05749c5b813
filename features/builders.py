"""Test data shared by several features."""

from __future__ import annotations


def entry_settings_document() -> dict[str, object]:
    """Return valid minimal settings of an entry host as JSON types."""
    return {
        'host_id': 'entry-1',
        'zone': 'cali-norte',
        'caller': {'listen': {'ip': '127.0.0.1', 'port': 0}},
        'operator': {
            'listen': {'ip': '127.0.0.1', 'port': 0},
            'token': {'environment': 'GUAVADYKE_OPERATOR_TOKEN'},
        },
        'peer': {
            'listen': {'ip': '127.0.0.1', 'port': 0},
            'fleet_key': {'environment': 'GUAVADYKE_FLEET_KEY'},
        },
        'platform': {'url': 'http://127.0.0.1:7000'},
    }
