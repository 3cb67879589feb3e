//! The mimosagap daemon for entry hosts.
#![deny(unsafe_code, missing_docs)]

fn main() {}
