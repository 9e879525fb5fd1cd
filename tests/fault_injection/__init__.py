"""Real sidecar processes under seeded faults, judged from outside; ``__main__`` documents the command."""
