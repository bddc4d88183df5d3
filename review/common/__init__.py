"""Stand-ins that the review's cases share."""
