"""The sidecar's sockets: scheduler, parsers, front sockets, destinations and the server list."""
