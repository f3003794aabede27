"""A job must be reported as missing only if it certainly does not exist."""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill.connection.job_storage_messages import JobFound
from quaymill.process.jobs.job_lookup import DISCOVERY_TIME_S, JobLookup, NoSuchJob
from quaymill.process.jobs.listing import Listing, ListingDocument, ListingUnknown
from quaymill.process.jobs.storage_client import NotFound

LATER_S = DISCOVERY_TIME_S + 1.0
NOT_FOUND = NotFound(certain=True)
MAYBE_FOUND = NotFound(certain=False)
FOUND = JobFound("g#1", False, 3, None)
LISTING = Listing(ListingDocument("g#1", 3), 1)
LISTING_UNKNOWN = ListingUnknown("the store does not answer")


class _FixedAnswers:
    """Storage nodes and a store with fixed answers."""

    def __init__(self, found, listing) -> None:
        self._found = found
        self._listing = listing

    def find_job(self, job_id):
        return self._found

    def read(self, job_id):
        return self._listing


def lookup_of(found, listing, age_s: float) -> JobLookup:
    fixed = _FixedAnswers(found, listing)
    lookup = JobLookup(fixed, fixed)
    lookup._started_at -= age_s
    return lookup


class AbsenceTest(unittest.TestCase):
    """The decision behind 404 responses, quota refusals and removed quota entries."""

    @params(
        ("no storage node has it", NOT_FOUND, None, LATER_S, False, True),
        ("a storage node does not answer", MAYBE_FOUND, None, LATER_S, None, False),
        ("the gateway has just started", NOT_FOUND, None, 0.0, None, False),
        ("it has a listing in the store", NOT_FOUND, LISTING, LATER_S, None, False),
        ("the store cannot be read", NOT_FOUND, LISTING_UNKNOWN, LATER_S, None, False),
        ("a storage node has it", FOUND, None, LATER_S, True, False),
    )
    def test_job_is_missing_only_if_certain(self, _, found, listing, age_s, known, over) -> None:
        lookup = lookup_of(found, listing, age_s)
        self.assertIs(known, lookup.is_known("job"))
        self.assertIs(over, lookup.is_over("job"))
        if isinstance(found, NotFound):
            absent = isinstance(lookup.check_absence("job", found), NoSuchJob)
            self.assertIs(known is False, absent)
