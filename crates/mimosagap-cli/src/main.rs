//! The operators' command-line tool of mimosagap.
#![deny(unsafe_code, missing_docs)]

fn main() {}
