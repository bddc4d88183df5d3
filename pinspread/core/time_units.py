"""Units of time, as whole microseconds and nanoseconds."""

US_PER_MS = 1_000
US_PER_S = 1_000_000
NS_PER_US = 1_000
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
