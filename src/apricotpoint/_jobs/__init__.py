"""The coordination of jobs: admission, placement, outcomes and answers."""
