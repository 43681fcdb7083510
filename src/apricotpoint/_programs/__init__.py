"""Console programs, one composition root for each."""
