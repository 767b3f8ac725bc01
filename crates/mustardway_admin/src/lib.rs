//! Placeholder prose.
