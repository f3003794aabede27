"""The status document that the system writes for operators."""
