"""Console programs and their composition roots."""
