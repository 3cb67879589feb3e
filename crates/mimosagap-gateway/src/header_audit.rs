//! Reports what targets say in headers that this version cannot read.
//!
//! A new signal of the platform is a header like any other and is passed on to callers, so nothing
//! else would show that the gateway ignores it.

use std::cell::RefCell;
use std::collections::HashSet;

use http::HeaderMap;
use mimosagap_platform::engine::unknown_headers;
use mimosagap_routing::targets::TargetKey;

use crate::log::LogEvent;
use crate::state::Gateway;

/// Reports that are remembered; later ones are only counted. A target has few headers, and its key
/// is not used again.
const MAX_REPORTS: usize = 4096;

/// What was reported, so that each header of a target is logged once.
#[derive(Debug, Default)]
pub struct HeaderAudit {
    reported: RefCell<HashSet<(TargetKey, String)>>,
}

impl HeaderAudit {
    /// Returns whether a report about a header of a target is the first one.
    fn is_first(&self, key: TargetKey, name: &str) -> bool {
        let mut reported = self.reported.borrow_mut();
        reported.len() < MAX_REPORTS && reported.insert((key, name.to_owned()))
    }
}

/// Counts the headers of a response that this version does not know, and logs each once per target.
pub fn observe_unknown_headers(gateway: &Gateway, key: TargetKey, headers: &HeaderMap) {
    for name in unknown_headers(headers) {
        gateway
            .metrics
            .target_signals
            .unread_headers
            .with_label_values(&["unknown"])
            .inc();
        if gateway.header_audit.is_first(key, name) {
            gateway.log.event(&LogEvent::HeaderUnread {
                target: &gateway.instance(key),
                header: name,
                cause: "this version does not know the header",
            });
        }
    }
}

/// Counts a header that cannot be read, and logs it once per target and cause.
pub fn report_unreadable(gateway: &Gateway, key: TargetKey, header: &str, cause: &str) {
    gateway
        .metrics
        .target_signals
        .unread_headers
        .with_label_values(&["malformed"])
        .inc();
    if gateway.header_audit.is_first(key, cause) {
        gateway.log.event(&LogEvent::HeaderUnread {
            target: &gateway.instance(key),
            header,
            cause,
        });
    }
}
