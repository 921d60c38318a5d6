"""The interface between components: messages, notifications, replicated state, quota escrow."""
