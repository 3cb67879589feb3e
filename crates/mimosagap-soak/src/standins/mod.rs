//! Stand-ins of the platform's store and of targets.

pub mod generations;
pub mod store;
pub mod target;
