//! Load and experiment tool for mimosagap.
#![deny(unsafe_code, missing_docs)]
