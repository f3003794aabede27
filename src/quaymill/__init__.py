"""Serves online and batch inference from one fleet of machines."""
