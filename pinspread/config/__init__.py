"""The configuration of a courier: the platform's settings, or one application's file."""
