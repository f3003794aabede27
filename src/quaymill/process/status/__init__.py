"""The status that the system writes beside the operators' cells."""
