"""Messages between the processes of a deployment, and their codec."""
