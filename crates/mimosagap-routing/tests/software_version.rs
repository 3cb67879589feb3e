//! Engines of several versions of the software serve one service, and a stream may go on only at the
//! version that began it.

#[path = "support/options.rs"]
mod options;
mod support;

use mimosagap_routing::migration::choose_destination;
use mimosagap_routing::placement::{PlacementOptions, may_place_on, place_generation};
use mimosagap_routing::residency::{PermittedTarget, UNRESTRICTED};
use mimosagap_routing::targets::{Locality, TargetEntry, TargetKey, TargetTable};
use mimosagap_types::prelude::*;
use options::long_generation_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use support::{KV_CAPACITY_TOKENS, LONG_GENERATION, NOW, engines, entry, service};

/// Engines of one zone with these versions.
fn engines_with(versions: &[&str]) -> (TargetTable, Vec<TargetKey>) {
    let (mut targets, _) = engines(&[]);
    for version in versions {
        let version = (service(), SoftwareVersion::new(version));
        targets.versions_mut().admit(version, NOW);
    }
    let keys = (0..).zip(versions).map(|(number, version)| {
        let entry = TargetEntry {
            version: SoftwareVersion::new(version),
            ..entry(number, "a")
        };
        targets.upsert(entry, Locality::SameZone, NOW).0
    });
    let keys = keys.collect();
    (targets, keys)
}

fn place(targets: &TargetTable, version: Option<&str>) -> Option<TargetKey> {
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let version = version.map(SoftwareVersion::new);
    let options = PlacementOptions {
        version: version.as_ref(),
        ..long_generation_options(&service, &home_zone)
    };
    let mut random = SmallRng::seed_from_u64(1);
    let placement = place_generation(targets, &options, |_, _| true, NOW, &mut random);
    placement.map(|placement| placement.target.key())
}

/// Guards against the restart of a stream at an idle engine of another version after a crash.
#[rstest]
#[case::same_version_is_busy(&["v2", "v1"], Some(1))]
#[case::no_such_version(&["v2", "v3"], None)]
fn a_started_stream_is_placed_at_its_version_only(
    #[case] versions: &[&str],
    #[case] expected: Option<usize>,
) {
    let (mut targets, keys) = engines_with(versions);
    targets.add_request(keys[1], KV_CAPACITY_TOKENS / 2, 0, 1);
    let expected = expected.map(|index| keys[index]);
    assert_eq!(place(&targets, Some("v1")), expected);
    assert_eq!(place(&targets, None), Some(keys[0]));
}

/// A placer of an earlier build, or one that heard of another version, grants any engine.
#[test]
fn an_engine_of_another_version_granted_by_the_placer_is_not_used() {
    let (targets, keys) = engines_with(&["v2"]);
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let version = SoftwareVersion::new("v1");
    let options = PlacementOptions {
        version: Some(&version),
        ..long_generation_options(&service, &home_zone)
    };
    let target = targets.get(keys[0]).unwrap();
    assert!(!may_place_on(&targets, &options, target, NOW));
}

/// Guards against copies of running generations to the new engines of a release.
#[rstest]
#[case::same_version_is_busy(&["v1", "v2", "v1"], Some(2))]
#[case::no_such_version(&["v1", "v2", "v3"], None)]
fn a_generation_is_copied_to_an_engine_of_its_version_only(
    #[case] versions: &[&str],
    #[case] expected: Option<usize>,
) {
    let (mut targets, keys) = engines_with(versions);
    targets.add_request(keys[2], KV_CAPACITY_TOKENS / 2, 0, 1);
    let destination = choose_destination(
        &targets,
        &service(),
        targets.get(keys[0]).unwrap(),
        LONG_GENERATION.mean_kv_tokens(),
        &keys[..1],
        &UNRESTRICTED,
        NOW,
    )
    .map(PermittedTarget::key);
    assert_eq!(destination, expected.map(|index| keys[index]));
}

/// An engine may start again under its id and address, with another version and without a time of
/// its start in the entry. Streams of the process before do not go on there.
#[test]
fn an_engine_that_starts_again_with_another_version_is_another_one() {
    let (mut targets, keys) = engines_with(&["v1"]);
    let restarted = TargetEntry {
        version: SoftwareVersion::new("v2"),
        ..entry(0, "a")
    };
    let (key, is_new) = targets.upsert(restarted, Locality::SameZone, NOW);
    assert!(is_new && key != keys[0]);
    assert!(targets.get(keys[0]).is_none());
    assert_eq!(place(&targets, Some("v1")), None);
}
