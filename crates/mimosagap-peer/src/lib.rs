//! Daemon-to-daemon protocol of mimosagap.
#![deny(unsafe_code, missing_docs)]
