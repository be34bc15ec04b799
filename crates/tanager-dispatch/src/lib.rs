//! Queueing, fairness, admission, worker limits and other decisions as pure functions.
