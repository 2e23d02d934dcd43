"""Stand-ins for the platform, model engines and plain services, for trials and tests only.

Each is a program of its own with switches for the failures that the system must bear.
"""
