"""Stand-ins for the platform, model engines and plain services, for demos and tests only.

Each is a separate program, with switches that inject failures which the system must tolerate.
"""
