"""Pure decisions: messages in, effects out, no clock and no I/O."""
