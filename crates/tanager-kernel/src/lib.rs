//! Service registry, start and stop order and state dump of one process.
