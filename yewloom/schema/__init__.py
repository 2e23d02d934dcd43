"""Schema of messages, settings and table rows, and the code generated from it."""
