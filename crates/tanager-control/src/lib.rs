//! Replicates the change log, proposes changes and runs moves, drains and waves.
