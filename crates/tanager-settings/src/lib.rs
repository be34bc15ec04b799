//! Checked INI settings of the node.
