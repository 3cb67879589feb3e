//! A host that is cut off while keys are revoked and routes change.

use std::time::Duration;

use mimosagap_routing::change_source::poll_delay;
use mimosagap_routing::config::{FleetConfig, RequestLimits};
use mimosagap_routing::config_state::{ConfigState, MAX_WATCH_LAG, StalenessBounds};

/// A revoked key must not run a request later than this.
const REVOCATION: Duration = Duration::from_secs(5);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn belief(strict_revocation: bool) -> ConfigState {
    ConfigState::new(StalenessBounds {
        revocation_delay: REVOCATION,
        propagation_delay: seconds(3),
        strict_revocation,
    })
}

fn config(version: u64) -> FleetConfig {
    let limits = RequestLimits {
        max_body_bytes: 1 << 20,
        max_header_bytes: 1 << 14,
        idle_timeout: seconds(15),
    };
    FleetConfig::new(version, limits, Vec::new(), Vec::new(), Vec::new())
}

#[test]
fn a_host_without_contact_stops_running_keyed_requests_before_the_bound() {
    let mut belief = belief(true);
    belief.apply(7, config(1));
    belief.confirm_by_read(seconds(100));
    assert!(belief.may_accept_keys(seconds(104)));
    assert!(!belief.may_accept_keys(seconds(105)));
}

#[test]
fn a_silent_watch_proves_only_what_held_before_it_may_have_gone_deaf() {
    let mut belief = belief(true);
    belief.apply(7, config(1));
    belief.confirm_by_watch(seconds(100));
    let last = (seconds(100) + seconds(5)).saturating_sub(MAX_WATCH_LAG);
    assert!(!belief.may_accept_keys(last));
    assert!(belief.may_accept_keys(last.saturating_sub(seconds(1))));
}

#[test]
fn without_the_strict_bound_the_last_keys_stay_good() {
    let mut belief = belief(false);
    belief.apply(7, config(1));
    belief.confirm_by_read(seconds(100));
    assert!(belief.may_accept_keys(seconds(1000)));
}

#[test]
fn a_denial_needs_a_store_that_was_asked_lately() {
    let mut belief = belief(true);
    belief.apply(7, config(1));
    assert!(!belief.may_reject_unknown(seconds(100)));
    belief.confirm_by_watch(seconds(100));
    assert!(belief.may_reject_unknown(seconds(102)));
    assert!(!belief.may_reject_unknown(seconds(103)));
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
    belief.confirm_by_read(seconds(100));
    belief.confirm_by_read(seconds(90));
    assert!(belief.may_accept_keys(seconds(104)));
}

/// Load pattern: a configuration of 400 KB with hundreds of new routes passes from the reader of the
/// region through a relay to a host, each on a link of 10 Mbit/s. All three keep asking, and the
/// proof must stay young on the last one. It was 5.4 s old when hosts paused by the length alone.
#[test]
fn a_large_configuration_does_not_age_the_proof() {
    const LENGTH: usize = 400_000;
    const STEP: Duration = Duration::from_millis(10);
    // The watch of the store waits, and a reader answers at once or after its wait.
    let watch = Duration::from_millis(780);
    let hold = Duration::from_millis(500);
    let transfer = Duration::from_millis(320);
    let mut beliefs = [belief(true), belief(true), belief(true)];
    // When each of the three asks next.
    let mut next_at = [seconds(1); 3];
    let mut has_config = [false; 3];
    let mut oldest = Duration::ZERO;
    let mut now = seconds(1);
    while now < seconds(20) {
        let is_changed = now >= seconds(10);
        for hop in 0..3 {
            if now < next_at[hop] {
                continue;
            }
            if hop == 0 {
                beliefs[0].confirm_by_watch(now.saturating_sub(watch));
                has_config[0] = is_changed;
                next_at[0] = now + watch;
                continue;
            }
            let heard = now.saturating_sub(beliefs[hop - 1].contact_age(now).unwrap_or(now));
            beliefs[hop].confirm_by_watch(heard);
            let is_large = has_config[hop - 1] && !has_config[hop];
            has_config[hop] = has_config[hop - 1];
            next_at[hop] = now
                + if is_large {
                    transfer + poll_delay(LENGTH)
                } else {
                    hold
                };
        }
        if now > seconds(5) {
            oldest = oldest.max(beliefs[2].confirmation_age(now).unwrap_or(now));
        }
        now += STEP;
    }
    assert!(oldest < REVOCATION.mul_f64(0.9), "{oldest:?}");
}
