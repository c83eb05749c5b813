"""Components that own state, and publish it as immutable snapshots."""
