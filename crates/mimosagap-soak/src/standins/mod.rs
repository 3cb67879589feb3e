//! Stand-ins for the platform's store and for targets, which run within the process of the soak.

pub mod detours;
pub mod generations;
pub mod store;
pub mod target;
