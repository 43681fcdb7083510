"""Message links between the entry and control processes of a deployment."""
