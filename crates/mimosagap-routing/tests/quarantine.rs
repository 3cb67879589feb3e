//! Requests, or one part of many prompts, crash every engine that begins to answer them.

use std::time::Duration;

use mimosagap_routing::prompt::PromptPart;
use mimosagap_routing::quarantine::{
    Admission, BlockedTrait, CRASH_RETENTION, CrashFingerprint, CrashReport, MAX_CRASHES,
    Quarantine, RequestFingerprint, RequestTrait, RequestTraits, SAME_MOMENT, SOUNDNESS_MEMORY,
    TRIAL_DELAY, VERDICT_RETENTION,
};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(1000);

/// Parts of prompts: the first one of all requests, one of many requests, and one that crashes
/// engines.
const COMMON: PromptPart = PromptPart(1);
const TEAM: PromptPart = PromptPart(2);
const BAD: PromptPart = PromptPart(0xbad);

/// A request with these parts and a last one of its own; the number makes it unlike all others.
fn request(number: u64, shared_parts: &[PromptPart]) -> RequestTraits {
    let mut parts = shared_parts.to_vec();
    parts.push(PromptPart(0x1_0000 + number));
    let body = number.to_be_bytes();
    RequestTraits::new(RequestFingerprint::new("/quote", "team", &body), &parts)
}

fn report(crash: u64, request: &RequestTraits) -> CrashReport {
    CrashReport {
        crash: CrashFingerprint(crash),
        request: request.clone(),
        has_begun: false,
    }
}

fn secs(seconds: f64) -> Duration {
    NOW + Duration::from_secs_f64(seconds)
}

fn is_blocked(quarantine: &Quarantine, request: &RequestTraits) -> bool {
    quarantine.blocking_verdict(request).is_some()
}

/// A quarantine that saw crashes under requests with these parts, one a second from `NOW` on.
fn quarantine_after(requests: &[&[PromptPart]]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (number, parts) in (0..).zip(requests) {
        let crashed = request(number, parts);
        quarantine.record_crash(
            &report(number, &crashed),
            NOW + Duration::from_secs(1) * u32::try_from(number).expect("few requests"),
        );
    }
    quarantine
}

#[test]
fn a_request_is_blocked_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    let repeated = request(1, &[]);
    for crash in 0..2 {
        assert_eq!(
            quarantine.record_crash(&report(crash, &repeated), NOW),
            None
        );
        assert!(!is_blocked(&quarantine, &repeated));
    }
    let verdict = quarantine.record_crash(&report(2, &repeated), NOW);
    let verdict = verdict.expect("the third crash leads to a verdict");
    assert_eq!(verdict.blocked, BlockedTrait::Request(repeated.fingerprint));
    assert!(is_blocked(&quarantine, &repeated));
    assert!(!is_blocked(&quarantine, &request(2, &[])));
}

#[test]
fn a_crash_reported_by_several_hosts_counts_once() {
    let mut quarantine = Quarantine::default();
    let repeated = request(1, &[BAD]);
    for _ in 0..5 {
        quarantine.record_crash(&report(1, &repeated), NOW);
    }
    for number in 2..7 {
        let at = NOW + Duration::from_secs(number);
        quarantine.record_crash(&report(1, &request(number, &[BAD])), at);
    }
    assert!(!is_blocked(&quarantine, &repeated));
}

#[test]
fn the_fingerprint_depends_on_team_and_body() {
    let fingerprint = RequestFingerprint::new("/quote", "team", b"body");
    let others = [
        RequestFingerprint::new("/quote", "other", b"body"),
        RequestFingerprint::new("/quote", "team", b"other"),
        RequestFingerprint::new("/other", "team", b"body"),
    ];
    assert!(others.iter().all(|other| *other != fingerprint));
    assert_eq!(
        fingerprint,
        RequestFingerprint::new("/quote", "team", b"body")
    );
}

/// No two requests are alike; only one part is the same.
#[test]
fn a_part_is_blocked_after_three_crashes_under_different_requests() {
    let mut quarantine = quarantine_after(&[&[COMMON, BAD], &[COMMON, BAD]]);
    quarantine.apply_sound(RequestTrait::Part(COMMON), secs(1.0));
    let verdict = quarantine.record_crash(&report(9, &request(9, &[COMMON, BAD])), secs(2.0));
    assert_eq!(
        verdict.map(|verdict| verdict.blocked),
        Some(BlockedTrait::Parts(vec![BAD]))
    );
    assert!(is_blocked(&quarantine, &request(10, &[COMMON, TEAM, BAD])));
    assert!(!is_blocked(&quarantine, &request(11, &[COMMON, TEAM])));
}

/// The last part belongs to the request or its session and is never blamed.
#[test]
fn the_last_part_is_not_a_trait() {
    let traits = RequestTraits::new(RequestFingerprint(1), &[COMMON, TEAM, BAD]);
    assert_eq!(traits.shared_parts, [COMMON, TEAM]);
    let traits = RequestTraits::new(RequestFingerprint(1), &[BAD]);
    assert_eq!(traits.shared_parts, []);
}

/// Engines that end for other reasons end under requests too, nearly all of which share a part.
#[test]
fn a_part_of_nearly_all_requests_is_not_blamed_for_other_crashes() {
    let mut quarantine = Quarantine::default();
    for number in 0..40 {
        let at = secs(f64::from(u32::try_from(number).expect("small")));
        // Elsewhere, another request with the part is answered.
        quarantine.record_sound(&request(100 + number, &[COMMON]), at);
        quarantine.record_crash(&report(number, &request(number, &[COMMON])), at);
        assert!(quarantine.verdicts().is_empty());
    }
}

#[rstest]
#[case::a_rack_at_once(SAME_MOMENT / 10, false)]
#[case::one_after_the_other(SAME_MOMENT, true)]
fn targets_that_end_at_the_same_moment_count_as_one(
    #[case] gap: Duration,
    #[case] is_blamed: bool,
) {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let at = NOW + gap * u32::try_from(number).expect("small");
        quarantine.record_crash(&report(number, &request(number, &[TEAM])), at);
    }
    assert_eq!(is_blocked(&quarantine, &request(9, &[TEAM])), is_blamed);
}

#[test]
fn parts_that_always_come_together_are_blocked_together() {
    let mut quarantine = quarantine_after(&[&[TEAM, BAD], &[TEAM, BAD], &[TEAM, BAD]]);
    assert!(is_blocked(&quarantine, &request(9, &[TEAM, BAD])));
    let sound = request(10, &[TEAM]);
    assert!(!is_blocked(&quarantine, &sound));
    // The sound request runs and clears its part; the other one stays blocked.
    assert_eq!(
        quarantine.record_sound(&sound, secs(4.0)),
        [RequestTrait::Part(TEAM)]
    );
    assert!(is_blocked(&quarantine, &request(11, &[COMMON, BAD])));
}

#[test]
fn several_bad_parts_are_blocked_each_by_itself() {
    let other_bad = PromptPart(0xbad2);
    let series: [&[PromptPart]; 6] = [
        &[TEAM, BAD],
        &[COMMON, other_bad],
        &[COMMON, BAD],
        &[TEAM, other_bad],
        &[COMMON, BAD],
        &[COMMON, other_bad],
    ];
    let mut quarantine = quarantine_after(&series);
    quarantine.apply_sound(RequestTrait::Part(TEAM), secs(6.0));
    quarantine.apply_sound(RequestTrait::Part(COMMON), secs(6.0));
    assert!(is_blocked(&quarantine, &request(10, &[BAD])));
    assert!(is_blocked(&quarantine, &request(11, &[other_bad])));
    assert!(!is_blocked(&quarantine, &request(12, &[COMMON, TEAM])));
}

/// Many answers have just begun when an engine ends under a request that has not.
#[test]
fn requests_with_a_begun_answer_are_not_blamed_beside_one_without() {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let at = NOW + Duration::from_secs(number);
        let begun = CrashReport {
            has_begun: true,
            ..report(number, &request(100 + number, &[TEAM]))
        };
        quarantine.record_crash(&report(number, &request(number, &[BAD])), at);
        quarantine.record_crash(&begun, at);
    }
    assert!(is_blocked(&quarantine, &request(9, &[BAD])));
    assert!(!is_blocked(&quarantine, &request(9, &[TEAM])));
}

/// The answer may begin before the engine ends.
#[test]
fn a_part_is_blamed_if_all_answers_had_begun() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let begun = CrashReport {
            has_begun: true,
            ..report(number, &request(number, &[BAD]))
        };
        quarantine.record_crash(&begun, NOW + Duration::from_secs(number));
    }
    assert!(is_blocked(&quarantine, &request(9, &[BAD])));
}

/// Requests with a blocked part that were on their way crash more engines, each with other requests.
#[test]
fn a_crash_under_a_blocked_part_speaks_against_no_other() {
    let mut quarantine = quarantine_after(&[&[BAD], &[BAD], &[BAD]]);
    for number in 10..16 {
        let at = NOW + Duration::from_secs(number);
        quarantine.record_crash(&report(number, &request(number, &[BAD])), at);
        quarantine.record_crash(&report(number, &request(number, &[TEAM])), at);
    }
    assert!(!is_blocked(&quarantine, &request(9, &[TEAM])));
}

/// All hosts were killed, and none has seen a proof since.
#[test]
fn a_host_that_has_just_started_needs_one_crash_more() {
    let mut quarantine = Quarantine::new(NOW);
    for number in 0..4 {
        assert!(!is_blocked(&quarantine, &request(9, &[TEAM])));
        let at = NOW + Duration::from_secs(number);
        quarantine.record_crash(&report(number, &request(number, &[TEAM])), at);
    }
    assert!(is_blocked(&quarantine, &request(9, &[TEAM])));
}

#[test]
fn a_bad_first_part_blocks_all_prompts_that_begin_with_it() {
    let quarantine = quarantine_after(&[&[BAD, TEAM], &[BAD, COMMON], &[BAD, PromptPart(7)]]);
    assert!(is_blocked(&quarantine, &request(9, &[BAD, PromptPart(8)])));
    assert!(!is_blocked(&quarantine, &request(9, &[TEAM, COMMON])));
}

#[rstest]
#[case::before_the_crash(-1.0, false)]
#[case::after_the_crash(10.0, false)]
#[case::long_before_the_crash(-1.0 - SOUNDNESS_MEMORY.as_secs_f64(), true)]
fn a_proof_of_soundness_clears_a_part(#[case] proved: f64, #[case] is_blamed: bool) {
    let mut quarantine = Quarantine::default();
    let early_proof = NOW.saturating_sub(Duration::from_secs_f64(proved.abs()));
    if proved < 0.0 {
        quarantine.apply_sound(RequestTrait::Part(TEAM), early_proof);
    }
    for number in 0..MAX_CRASHES as u64 {
        let at = NOW + Duration::from_secs(number);
        quarantine.record_crash(&report(number, &request(number, &[TEAM])), at);
    }
    if proved > 0.0 {
        quarantine.apply_sound(RequestTrait::Part(TEAM), secs(proved));
    }
    assert_eq!(is_blocked(&quarantine, &request(9, &[TEAM])), is_blamed);
}

/// An answer that is proved sound unblocks its parts and the request itself on all hosts.
#[test]
fn a_proof_names_what_the_other_hosts_must_learn() {
    let mut quarantine = quarantine_after(&[&[TEAM], &[TEAM], &[TEAM]]);
    let admitted_before = request(0, &[TEAM, COMMON]);
    let proved = quarantine.record_sound(&admitted_before, secs(3.0));
    assert_eq!(
        proved,
        [
            RequestTrait::Part(TEAM),
            RequestTrait::Request(admitted_before.fingerprint)
        ]
    );
    assert!(quarantine.verdicts().is_empty());
    assert!(
        quarantine
            .record_sound(&request(4, &[TEAM]), secs(3.1))
            .is_empty()
    );
}

#[test]
fn a_verdict_of_another_host_is_taken_over_without_the_parts_that_are_sound() {
    let mut quarantine = Quarantine::default();
    quarantine.apply_sound(RequestTrait::Part(TEAM), secs(1.0));
    let blocked = BlockedTrait::Parts(vec![TEAM, BAD]);
    assert!(quarantine.apply_verdict(&blocked, 3, secs(0.5), secs(1.5)));
    assert!(is_blocked(&quarantine, &request(1, &[COMMON, BAD])));
    assert!(!quarantine.apply_verdict(&blocked, 3, secs(0.5), secs(1.6)));
    let only_sound = BlockedTrait::Parts(vec![TEAM]);
    assert!(!quarantine.apply_verdict(&only_sound, 3, secs(0.5), secs(1.7)));
}

/// One host tries a blocked request from time to time, so that a wrong verdict ends although the
/// refused requests prove nothing.
#[test]
fn one_host_tries_a_blocked_request_after_a_delay() {
    let mut quarantine = quarantine_after(&[&[BAD], &[BAD], &[BAD]]);
    let blocked = request(9, &[BAD]);
    let last_crash = secs(2.0);
    let is_refused = |admission| matches!(admission, Admission::Refused(_));
    let early = last_crash + TRIAL_DELAY.saturating_sub(Duration::from_millis(1));
    assert!(is_refused(quarantine.admit(&blocked, || true, early)));
    let due = last_crash + TRIAL_DELAY;
    assert!(is_refused(quarantine.admit(&blocked, || false, due)));
    assert!(matches!(
        quarantine.admit(&blocked, || true, due),
        Admission::OnTrial(_)
    ));
    assert!(is_refused(quarantine.admit(&blocked, || true, due)));
    // The trial crashes an engine; the next one waits twice as long.
    quarantine.record_crash(&report(10, &blocked), due);
    assert!(is_refused(quarantine.admit(
        &blocked,
        || true,
        due + TRIAL_DELAY
    )));
    assert!(matches!(
        quarantine.admit(&blocked, || true, due + TRIAL_DELAY * 2),
        Admission::OnTrial(_)
    ));
}

#[test]
fn a_trial_that_is_answered_ends_the_verdict() {
    let mut quarantine = quarantine_after(&[&[TEAM], &[TEAM], &[TEAM]]);
    let blocked = request(9, &[TEAM]);
    let due = secs(2.0) + TRIAL_DELAY;
    assert!(matches!(
        quarantine.admit(&blocked, || true, due),
        Admission::OnTrial(_)
    ));
    quarantine.record_sound(&blocked, due + Duration::from_secs(1));
    let later = due + Duration::from_secs(2);
    assert_eq!(
        quarantine.admit(&request(10, &[TEAM]), || false, later),
        Admission::Admitted
    );
}

#[test]
fn crashes_expire() {
    let mut quarantine = Quarantine::default();
    let repeated = request(1, &[TEAM]);
    for crash in 0..2 {
        quarantine.record_crash(&report(crash, &repeated), secs(0.0));
    }
    let later = NOW + CRASH_RETENTION;
    quarantine.record_crash(&report(9, &repeated), later);
    assert!(!is_blocked(&quarantine, &repeated));
    assert_eq!(quarantine.crash_count(), 1);
}

/// A wrong verdict against a request that is asked for without end was renewed with each refusal.
#[test]
fn a_verdict_ends_while_its_requests_come() {
    let mut quarantine = quarantine_after(&[&[BAD], &[BAD], &[BAD]]);
    let blocked = request(9, &[BAD]);
    let last_crash = secs(2.0);
    for fraction in [0.1, 0.5, 0.9, 0.99] {
        let now = last_crash + VERDICT_RETENTION.mul_f64(fraction);
        assert!(matches!(
            quarantine.admit(&blocked, || false, now),
            Admission::Refused(_)
        ));
    }
    let now = last_crash + VERDICT_RETENTION;
    assert_eq!(
        quarantine.admit(&blocked, || false, now),
        Admission::Admitted
    );
}

/// A verdict that is right lasts, because its trials crash targets before it ends.
#[test]
fn trials_that_crash_targets_renew_a_verdict() {
    let mut quarantine = quarantine_after(&[&[BAD], &[BAD], &[BAD]]);
    let blocked = request(9, &[BAD]);
    let mut now = secs(2.0);
    let mut trials = 0;
    while now < secs(3600.0) {
        now += Duration::from_secs(10);
        match quarantine.admit(&blocked, || true, now) {
            Admission::Refused(_) => {}
            Admission::OnTrial(_) => {
                trials += 1;
                quarantine.record_crash(&report(100 + trials, &blocked), now);
            }
            Admission::Admitted => panic!("the verdict ended after {trials} trials"),
        }
    }
    assert!(trials <= 11, "{trials} trials in an hour");
}

/// Many callers poll a sound request, which is in flight whenever a target crashes. It is answered by
/// the other targets before, between and after the crashes, on this host or on another one.
#[rstest]
#[case::crashes_of_seconds(7.0, 0.1, false)]
#[case::crashes_at_one_moment(0.0, 0.1, false)]
#[case::answered_long_before(7.0, 60.0, true)]
fn a_popular_request_is_blocked_after_crashes(
    #[case] seconds_between: f64,
    #[case] answer_age: f64,
    #[case] is_blamed: bool,
) {
    let mut quarantine = Quarantine::default();
    let popular = request(1, &[]);
    let mut at = NOW;
    for number in 0..2 * MAX_CRASHES as u64 {
        at += Duration::from_secs_f64(seconds_between);
        let answered_at = at.saturating_sub(Duration::from_secs_f64(answer_age));
        if number == 0 || answer_age < 1.0 {
            quarantine.record_sound(&popular, answered_at);
        }
        quarantine.record_crash(&report(number, &popular), at);
    }
    assert_eq!(is_blocked(&quarantine, &popular), is_blamed);
}

/// A host that has few requests hears of crashes under one that is answered elsewhere.
#[test]
fn a_verdict_of_another_host_is_not_taken_over_against_a_request_that_was_answered() {
    let mut quarantine = Quarantine::default();
    let popular = request(1, &[]);
    quarantine.record_sound(&popular, secs(1.0));
    let blocked = BlockedTrait::Request(popular.fingerprint);
    assert!(!quarantine.apply_verdict(&blocked, 3, secs(2.0), secs(2.1)));
    let proved: Vec<_> = quarantine.proved_traits(&popular, secs(2.0)).collect();
    assert_eq!(proved, [RequestTrait::Request(popular.fingerprint)]);
}

/// Callers choose the parts of their prompts, and every request may bring new ones.
#[test]
fn memory_is_bounded_when_every_request_brings_new_parts() {
    let mut quarantine = Quarantine::default();
    for number in 0..6_000_u64 {
        let at = NOW + Duration::from_millis(number);
        let parts: Vec<PromptPart> = (0..40)
            .map(|part| PromptPart(0x10_0000 + number * 40 + part))
            .collect();
        let traits = request(number, &parts);
        assert!(traits.shared_parts.len() <= 16);
        quarantine.record_sound(&traits, at);
        quarantine.record_crash(&report(number, &request(number, &parts[20..])), at);
    }
    assert!(quarantine.crash_count() <= 128);
    assert!(quarantine.verdicts().is_empty());
}
