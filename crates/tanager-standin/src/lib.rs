//! Stand-ins of the platform and of endpoints, and the load tool. Not shipped.
