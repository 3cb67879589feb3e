//! Client of the platform's key-value service and the records mimosagap keeps there.
#![deny(unsafe_code, missing_docs)]
