"""The serving configuration: its data model, checks, edits, tables and routes."""
