//! A host that is cut off while keys are revoked and routes change.

use std::time::Duration;

use mimosagap_routing::belief::{BeliefBounds, ConfigBelief, WATCH_SILENCE};
use mimosagap_routing::config::{CallerLimits, FleetConfig};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn belief(strict: bool) -> ConfigBelief {
    ConfigBelief::new(BeliefBounds {
        revocation: seconds(5),
        change: seconds(3),
        strict,
    })
}

fn config(version: u64) -> FleetConfig {
    let limits = CallerLimits {
        body_bytes: 1 << 20,
        header_bytes: 1 << 14,
        idle: seconds(15),
    };
    FleetConfig::new(version, limits, Vec::new(), Vec::new(), Vec::new())
}

#[test]
fn a_host_without_contact_stops_running_keyed_requests_before_the_bound() {
    let mut belief = belief(true);
    belief.apply(7, config(1));
    belief.prove(seconds(100));
    assert!(belief.may_run_keyed(seconds(104)));
    assert!(!belief.may_run_keyed(seconds(105)));
}

#[test]
fn a_silent_watch_proves_only_what_held_before_it_may_have_gone_deaf() {
    let mut belief = belief(true);
    belief.apply(7, config(1));
    belief.hear(seconds(100));
    let last = (seconds(100) + seconds(5)).saturating_sub(WATCH_SILENCE);
    assert!(!belief.may_run_keyed(last));
    assert!(belief.may_run_keyed(last.saturating_sub(seconds(1))));
}

#[test]
fn without_the_strict_bound_the_last_keys_stay_good() {
    let mut belief = belief(false);
    belief.apply(7, config(1));
    belief.prove(seconds(100));
    assert!(belief.may_run_keyed(seconds(1000)));
}

#[test]
fn a_denial_needs_a_store_that_was_asked_lately() {
    let mut belief = belief(true);
    belief.apply(7, config(1));
    assert!(!belief.may_deny(seconds(100)));
    belief.hear(seconds(100));
    assert!(belief.may_deny(seconds(102)));
    assert!(!belief.may_deny(seconds(103)));
}

#[test]
fn an_older_configuration_never_comes_back() {
    let mut belief = belief(true);
    assert!(belief.apply(9, config(3)));
    assert!(!belief.apply(8, config(2)));
    assert!(!belief.apply(9, config(3)));
    assert!(!belief.apply(10, config(2)));
    assert_eq!(belief.config().map(|config| config.version), Some(3));
}

#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut belief = belief(true);
    belief.apply(7, config(1));
    belief.prove(seconds(100));
    belief.prove(seconds(90));
    assert!(belief.may_run_keyed(seconds(104)));
}
