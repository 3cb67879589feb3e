//! Scenario language, process harness and end-to-end tests of mimosagap.
#![deny(unsafe_code, missing_docs)]
