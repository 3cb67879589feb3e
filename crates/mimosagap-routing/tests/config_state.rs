//! A host loses contact to the store while keys are revoked and routes change.

use std::time::Duration;

use mimosagap_routing::change_source::poll_delay;
use mimosagap_routing::config::{FleetConfig, RequestLimits};
use mimosagap_routing::config_state::{ConfigState, MAX_WATCH_LAG, StalenessBounds};
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};

/// Bound on the time after the revocation of a key from which no request with it may run.
const REVOCATION: Duration = Duration::from_secs(5);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn config_state(strict_revocation: bool) -> ConfigState {
    ConfigState::new(StalenessBounds {
        revocation_delay: REVOCATION,
        propagation_delay: seconds(3),
        strict_revocation,
    })
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(1), number)
}

fn config(version: u64) -> FleetConfig {
    let limits = RequestLimits {
        max_body_bytes: 1 << 20,
        max_header_bytes: 1 << 14,
        header_timeout: Duration::from_secs(3),
        idle_timeout: seconds(15),
    };
    FleetConfig::new(version, limits, Vec::new(), Vec::new(), Vec::new())
}

#[test]
fn a_host_without_contact_stops_accepting_keys_before_the_revocation_bound() {
    let mut state = config_state(true);
    state.apply(revision(7), config(1));
    state.confirm_by_read(seconds(100));
    assert!(state.may_accept_keys(seconds(104)));
    assert!(!state.may_accept_keys(seconds(105)));
}

#[test]
fn a_watch_confirms_only_the_state_before_its_maximum_lag() {
    let mut state = config_state(true);
    state.apply(revision(7), config(1));
    state.confirm_by_watch(seconds(100));
    let deadline = (seconds(100) + seconds(5)).saturating_sub(MAX_WATCH_LAG);
    assert!(!state.may_accept_keys(deadline));
    assert!(state.may_accept_keys(deadline.saturating_sub(seconds(1))));
}

#[test]
fn without_strict_revocation_keys_are_accepted_without_contact() {
    let mut state = config_state(false);
    state.apply(revision(7), config(1));
    state.confirm_by_read(seconds(100));
    assert!(state.may_accept_keys(seconds(1000)));
}

#[test]
fn rejecting_an_unknown_route_needs_recent_contact() {
    let mut state = config_state(true);
    state.apply(revision(7), config(1));
    assert!(!state.may_reject_unknown(seconds(100)));
    state.confirm_by_watch(seconds(100));
    assert!(state.may_reject_unknown(seconds(102)));
    assert!(!state.may_reject_unknown(seconds(103)));
}

#[test]
fn an_older_configuration_is_not_applied() {
    let mut state = config_state(true);
    assert!(state.apply(revision(9), config(3)));
    assert!(!state.apply(revision(8), config(2)));
    assert!(!state.apply(revision(9), config(3)));
    assert!(!state.apply(revision(10), config(2)));
    assert_eq!(state.config().map(|config| config.version), Some(3));
}

/// The store comes back from an older copy: its revisions are given out again for newer versions, and
/// the older version in the copy stands at a later time.
#[test]
fn a_newer_version_is_applied_whatever_its_revision() {
    let mut state = config_state(true);
    assert!(state.apply(revision(26), config(12)));
    let restored = |number| StoreRevision::new(StoreEra(2), number);
    assert!(!state.apply(restored(24), config(5)), "the copy is older");
    assert_eq!(state.config().map(|config| config.version), Some(12));
    assert!(state.apply(restored(25), config(12)), "written again");
    assert!(state.apply(restored(26), config(15)), "the number was seen");
    assert!(
        !state.apply(revision(40), config(14)),
        "an answer from before"
    );
    assert_eq!(state.config().map(|config| config.version), Some(15));
    assert_eq!(state.revision(), restored(26));
}

#[test]
fn an_older_confirmation_does_not_replace_a_newer_one() {
    let mut state = config_state(true);
    state.apply(revision(7), config(1));
    state.confirm_by_read(seconds(100));
    state.confirm_by_read(seconds(90));
    assert!(state.may_accept_keys(seconds(104)));
}

/// A configuration of 400 KB with hundreds of new routes passes from the reader of the region
/// through a relay to a host, each on a link of 10 Mbit/s, while all three keep polling. Without a
/// cap on the poll delay, the confirmation on the last host reached an age of 5.4 s.
#[test]
fn a_large_configuration_does_not_delay_the_confirmation() {
    const RESPONSE_BYTES: usize = 400_000;
    const STEP: Duration = Duration::from_millis(10);
    // The wait of a store watch with its poll delay, and the wait of a poll without changes.
    let watch_interval = Duration::from_millis(780);
    let poll_wait = Duration::from_millis(500);
    let transfer_time = Duration::from_millis(320);
    let mut states = [config_state(true), config_state(true), config_state(true)];
    // The time of the next poll of each of the three.
    let mut next_poll_at = [seconds(1); 3];
    let mut has_config = [false; 3];
    let mut max_age = Duration::ZERO;
    let mut now = seconds(1);
    while now < seconds(20) {
        let is_changed = now >= seconds(10);
        for hop in 0..3 {
            if now < next_poll_at[hop] {
                continue;
            }
            if hop == 0 {
                states[0].confirm_by_watch(now.saturating_sub(watch_interval));
                has_config[0] = is_changed;
                next_poll_at[0] = now + watch_interval;
                continue;
            }
            let confirmed_at = now.saturating_sub(states[hop - 1].contact_age(now).unwrap_or(now));
            states[hop].confirm_by_watch(confirmed_at);
            let is_large = has_config[hop - 1] && !has_config[hop];
            has_config[hop] = has_config[hop - 1];
            next_poll_at[hop] = now
                + if is_large {
                    transfer_time + poll_delay(RESPONSE_BYTES)
                } else {
                    poll_wait
                };
        }
        if now > seconds(5) {
            max_age = max_age.max(states[2].confirmation_age(now).unwrap_or(now));
        }
        now += STEP;
    }
    assert!(max_age < REVOCATION.mul_f64(0.9), "{max_age:?}");
}
