"""Reload of the configuration at SIGHUP."""

from __future__ import annotations

import os

from loguru import logger

from lugtally.config import sidecar
from lugtally.discovery.watcher import EndpointWatcher


def reload_configuration(endpoint_watcher: EndpointWatcher) -> None:
    """Watch the endpoint list where the configuration now says; everything else in it takes effect at a restart."""
    try:
        config = sidecar.load(os.environ, reloading=True)
    except sidecar.ConfigurationError as error:
        # A mistake in the file must not end the service: the configuration in force stays in force.
        logger.error("the new configuration is not used: {reason}", event="config.rejected", reason=str(error))
        return
    logger.info(
        "told to read the configuration again: discovery at {host}:{port}",
        event="config.reloaded",
        host=config.discovery.host,
        port=config.discovery.port,
    )
    endpoint_watcher.move_to(config.discovery)
