"""What a storage node does: keeps jobs and results, repairs copies, finds new coordinators."""
