//! Folds the change log into the fleet state and validates proposed changes.
