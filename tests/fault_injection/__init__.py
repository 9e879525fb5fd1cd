"""Real sidecar processes under seeded faults, judged by their wire alone; ``__main__`` documents the command."""
