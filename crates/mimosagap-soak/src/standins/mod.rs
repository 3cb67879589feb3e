//! Stand-ins of the platform's store and of targets.

pub mod copies;
pub mod store;
pub mod target;
