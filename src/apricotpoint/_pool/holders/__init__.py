"""Who holds which backend servers: membership, claims and what is known of both."""
