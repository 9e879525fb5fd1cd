"""Stand-ins of the second review: clients, pledge servers, discovery and the platform, on loopback addresses."""
