"""Stand-ins for the clients, the pledge servers, discovery and the platform, as the operators' pages describe them."""
