"""The test bed: real processes on loopback, faults between them, and checks of their history."""
