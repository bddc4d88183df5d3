"""What a courier is told: its settings, and one application's configuration file."""
