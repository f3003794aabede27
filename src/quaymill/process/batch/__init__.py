"""Batch items: leased from the job store and run in the room that online work leaves."""
