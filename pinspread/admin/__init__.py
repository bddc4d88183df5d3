"""The admin server for operators, and the client that prints its views."""
