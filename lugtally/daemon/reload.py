"""Reloads the configuration on SIGHUP."""

from __future__ import annotations

import os

from loguru import logger

from lugtally.config import sidecar
from lugtally.discovery.watcher import EndpointWatcher


def reload_configuration(endpoint_watcher: EndpointWatcher) -> None:
    """Reload the configuration and move the watch to its discovery address.  Other changes require a restart."""
    try:
        config = sidecar.load_config(os.environ, reloading=True)
    except sidecar.ConfigurationError as error:
        # An invalid file must not stop the sidecar, which continues with its current configuration.
        logger.error("new configuration rejected: {reason}", event="config.rejected", reason=str(error))
        return
    logger.info(
        "configuration reloaded: discovery at {host}:{port}",
        event="config.reloaded",
        host=config.discovery.host,
        port=config.discovery.port,
    )
    endpoint_watcher.move_to(config.discovery)
