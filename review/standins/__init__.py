"""Stand-ins of the review: store, targets, clients, routers and programs."""
