//! Tests of the records in the store: claims, rules, suspects and lender slots.

mod support;

use std::time::Duration;

use mimosagap_rules::RulesDelta;
use mimosagap_store::claims::{
    ClaimOptions, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimState, FinishOptions,
    FinishOutcome, FinishRequest, OrderResult, ResultBody,
};
use mimosagap_store::lenders::{AcquireSlotOptions, AcquireSlotOutcome, ReleaseSlotOptions};
use mimosagap_store::members::MemberRecord;
use mimosagap_store::rules::{ApplyOptions, ApplyOutcome, DeltaRecord};
use mimosagap_store::suspects::{
    EndTrialOutcome, SuspectOptions, SuspectOutcome, TargetDeath, TrialEnd, TrialLeases,
    TrialOptions, TrialOutcome,
};
use mimosagap_store::{GrantOptions, LeaseId, Nonce, StoreClient, WriteError};
use mimosagap_types::prelude::*;
use support::MemoryStore;

const RETRY_TIMEOUT: Duration = Duration::from_secs(2);

fn grant_lease(client: &StoreClient) -> LeaseId {
    client
        .grant(GrantOptions::new(Duration::from_mins(1)))
        .unwrap()
        .lease
}

fn claim_request(key: &str, body: &str) -> ClaimRequest {
    ClaimRequest {
        key: OrderKey {
            team: TeamName::new("floors"),
            key: RequestDigest::of(&[key.as_bytes()]),
        },
        record: ClaimRecord {
            nonce: Nonce::random(),
            digest: RequestDigest::of(&[body.as_bytes()]),
            claimed_at_ms: 1,
            state: ClaimState::Claimed,
        },
    }
}

fn claim_orders(
    client: &StoreClient,
    requests: Vec<ClaimRequest>,
) -> Vec<Result<ClaimOutcome, WriteError>> {
    client.claim_orders(ClaimOptions {
        lease: grant_lease(client),
        requests,
        retry_timeout: RETRY_TIMEOUT,
    })
}

fn is_acquired(result: &Result<ClaimOutcome, WriteError>) -> bool {
    matches!(result, Ok(ClaimOutcome::Acquired { .. }))
}

fn finish_claim(client: &StoreClient, request: &ClaimRequest, revision: u64, state: ClaimState) {
    let mut record = request.record.clone();
    record.state = state;
    let results = client.finish_claims(FinishOptions {
        requests: vec![FinishRequest {
            key: request.key.clone(),
            record,
            mod_revision: revision,
        }],
        lease: grant_lease(client),
        retry_timeout: RETRY_TIMEOUT,
    });
    assert_eq!(results, [Ok(FinishOutcome::Recorded)]);
}

fn acquired_revision(result: &Result<ClaimOutcome, WriteError>) -> u64 {
    match result {
        Ok(ClaimOutcome::Acquired { mod_revision }) => *mod_revision,
        other => panic!("claim not acquired: {other:?}"),
    }
}

/// Fails if a claim that was written is not reported as acquired because the store's response was
/// lost. The caller would refuse the order, or send it without holding the claim.
#[test]
fn lost_response_of_a_claim_is_read_back() {
    let store = MemoryStore::start();
    let client = store.client();
    let claims_lease = grant_lease(&client);
    store.drop_responses(1);
    let results = client.claim_orders(ClaimOptions {
        requests: vec![claim_request("k1", "b"), claim_request("k2", "b")],
        lease: claims_lease,
        retry_timeout: RETRY_TIMEOUT,
    });
    assert!(results.iter().all(is_acquired), "{results:?}");
}

/// Fails if a claim is reported as not written although the write may have been applied. Here every
/// response is lost, so that the claim cannot be read back.
#[test]
fn claim_without_any_response_is_uncertain() {
    let store = MemoryStore::start();
    let client = store.client();
    let claims_lease = grant_lease(&client);
    store.drop_responses(1_000);
    let results = client.claim_orders(ClaimOptions {
        requests: vec![claim_request("k", "b")],
        lease: claims_lease,
        retry_timeout: Duration::from_millis(200),
    });
    assert_eq!(results, [Err(WriteError::Uncertain)]);
}

/// Fails if two daemons that claim one order at the same time both acquire it and send the order.
#[test]
fn concurrent_claims_of_one_order_have_one_winner() {
    let store = MemoryStore::start();
    let races = (0..20).map(|race| {
        let key = format!("k{race}");
        let claimants = [store.client(), store.client()].map(|client| {
            let request = claim_request(&key, "b");
            std::thread::spawn(move || claim_orders(&client, vec![request]).remove(0))
        });
        claimants.map(|claimant| claimant.join().unwrap())
    });
    for results in races {
        let winner_count = results.iter().filter(|result| is_acquired(result)).count();
        assert_eq!(winner_count, 1, "{results:?}");
        assert!(
            results.contains(&Ok(ClaimOutcome::InProgress)),
            "{results:?}"
        );
    }
}

/// Fails if one key that is already claimed makes the other claims of its batch fail, or if two
/// claims of one key in a batch both succeed.
#[test]
fn conflict_in_a_batch_affects_only_its_key() {
    let client = MemoryStore::start().client();
    assert!(is_acquired(
        &claim_orders(&client, vec![claim_request("taken", "b")])[0]
    ));
    let batch = ["free", "taken", "twice", "twice"].map(|key| claim_request(key, "b"));
    let results = claim_orders(&client, batch.to_vec());
    assert!(
        is_acquired(&results[0]) && is_acquired(&results[2]),
        "{results:?}"
    );
    assert_eq!(results[1], Ok(ClaimOutcome::InProgress));
    assert_eq!(results[3], Ok(ClaimOutcome::InProgress));
}

/// Fails if a claim succeeds for another body under a key that is in use, also after the first
/// order ended as not run. The key would then identify two orders.
#[test]
fn different_body_under_the_same_key_is_refused() {
    let client = MemoryStore::start().client();
    let first = claim_request("k", "one van");
    let revision = acquired_revision(&claim_orders(&client, vec![first.clone()])[0]);
    let claim_other_body = || claim_orders(&client, vec![claim_request("k", "two vans")]).remove(0);
    assert_eq!(claim_other_body(), Ok(ClaimOutcome::BodyMismatch));
    finish_claim(&client, &first, revision, ClaimState::NotRun);
    assert_eq!(claim_other_body(), Ok(ClaimOutcome::BodyMismatch));
}

/// Fails if a repeated order runs again although its result is recorded, or never runs although its
/// claim is recorded as not run.
#[test]
fn finished_claims_decide_repeated_orders() {
    let store = MemoryStore::start();
    let client = store.client();
    let (ran, unsent) = (claim_request("ran", "b"), claim_request("unsent", "b"));
    let claims = claim_orders(&client, vec![ran.clone(), unsent.clone()]);
    let result = OrderResult {
        status: 201,
        content_type: None,
        body: Some(ResultBody(b"booked".to_vec())),
    };
    finish_claim(
        &client,
        &ran,
        acquired_revision(&claims[0]),
        ClaimState::Ran(result.clone()),
    );
    finish_claim(
        &client,
        &unsent,
        acquired_revision(&claims[1]),
        ClaimState::NotRun,
    );
    let repeated_claims = claim_orders(
        &client,
        vec![claim_request("ran", "b"), claim_request("unsent", "b")],
    );
    assert_eq!(repeated_claims[0], Ok(ClaimOutcome::AlreadyRan(result)));
    assert!(is_acquired(&repeated_claims[1]), "{repeated_claims:?}");
}

fn apply_options(base: &mimosagap_store::rules::StoredRules, text: &str) -> ApplyOptions {
    let delta = RulesDelta::between(base.record.revision, &base.record.text, text);
    ApplyOptions {
        base_mod_revision: base.mod_revision,
        base: base.record.revision,
        text: text.to_owned(),
        delta: serde_json::to_string(&delta).unwrap(),
    }
}

/// Fails if the second of two operators who start from the same rules overwrites the change of the
/// first one.
#[test]
fn second_operator_gets_a_conflict() {
    let client = MemoryStore::start().client();
    let base = client.read_rules().unwrap();
    let first = client.apply_rules(&apply_options(&base, "a")).unwrap();
    assert_eq!(first, ApplyOutcome::Applied(RulesRevision(1)));
    let second = client.apply_rules(&apply_options(&base, "b")).unwrap();
    let ApplyOutcome::Conflict(current) = second else {
        panic!("expected a conflict, got {second:?}");
    };
    assert_eq!(current.record.text, "a");
    let third = client.apply_rules(&apply_options(&current, "b")).unwrap();
    assert_eq!(third, ApplyOutcome::Applied(RulesRevision(2)));
}

/// Fails if a change is reported as a conflict with itself: its first attempt was applied, but the
/// response was lost, so that the compare of the second one fails.
#[test]
fn lost_response_of_an_apply_is_read_back() {
    let store = MemoryStore::start();
    let client = store.client();
    let base = client.read_rules().unwrap();
    store.drop_responses(1);
    let outcome = client.apply_rules(&apply_options(&base, "a")).unwrap();
    assert_eq!(outcome, ApplyOutcome::Applied(RulesRevision(1)));
    assert_eq!(client.read_rules().unwrap().record.text, "a");
}

/// Fails if a large change is refused because its delta exceeds the store's limit of 1 MB for a
/// value.
#[test]
fn large_change_is_stored_without_its_delta() {
    let store = MemoryStore::start();
    let client = store.client();
    let text = "# \"rule\"\n".repeat(90_000);
    let base = client.read_rules().unwrap();
    store.drop_responses(1);
    let outcome = client.apply_rules(&apply_options(&base, &text)).unwrap();
    assert_eq!(outcome, ApplyOutcome::Applied(RulesRevision(1)));
    let deltas = mimosagap_store::RangeOptions::with_prefix("mg/c/rules/delta/");
    let entries = client.range(deltas).unwrap().entries;
    assert!(entries[0].value.len() < 1_000_000);
    let record = DeltaRecord::parse(&entries[0].value).unwrap();
    assert_eq!(record.to_delta(), None);
}

/// Fails if old deltas stay in the store. They would grow until the initial read of all records
/// exceeds its limit.
#[test]
fn old_deltas_are_deleted() {
    let client = MemoryStore::start().client();
    for number in 0..80 {
        let base = client.read_rules().unwrap();
        client
            .apply_rules(&apply_options(&base, &number.to_string()))
            .unwrap();
    }
    let deltas = mimosagap_store::RangeOptions::with_prefix("mg/c/rules/delta/");
    assert_eq!(client.range(deltas).unwrap().entries.len(), 64);
}

fn trial_options(digest: RequestDigest, daemon: &str, engine: &str) -> TrialOptions {
    TrialOptions {
        digest,
        engine: engine.parse().unwrap(),
        daemon: DaemonId::new(daemon),
        nonce: Nonce::random(),
        retry_timeout: RETRY_TIMEOUT,
    }
}

fn join_fleet(client: &StoreClient, daemon: &str) -> TrialLeases {
    let lease = grant_lease(client);
    let address = "127.0.0.1:1".parse().unwrap();
    let record = MemberRecord {
        caller_address: address,
        peer_address: address,
        admin_address: address,
        zone: ZoneName::new("z"),
        region: RegionName::new("r"),
        leaving: false,
    };
    client
        .put_member(&DaemonId::new(daemon), &record, lease)
        .unwrap();
    TrialLeases {
        member: lease,
        suspect: None,
    }
}

/// Fails if a suspect runs on two engines at once, or two suspects run on one engine: its death
/// would then not show which of them caused it.
#[test]
fn trials_are_exclusive() {
    let client = MemoryStore::start().client();
    let (a, b) = (join_fleet(&client, "a"), join_fleet(&client, "b"));
    let digests = [b"p1", b"p2"].map(|part| RequestDigest::of(&[part]));
    let recorded = client.record_suspects(&SuspectOptions {
        digests: digests.to_vec(),
        death: None,
        lease: grant_lease(&client),
        retry_timeout: RETRY_TIMEOUT,
    });
    assert!(recorded.iter().all(Result::is_ok));
    let first = trial_options(digests[0], "a", "127.0.0.1:10");
    assert_eq!(client.acquire_trial(&first, a), Ok(TrialOutcome::Acquired));
    let same_suspect = trial_options(digests[0], "b", "127.0.0.1:11");
    assert_eq!(
        client.acquire_trial(&same_suspect, b),
        Ok(TrialOutcome::Busy)
    );
    let same_engine = trial_options(digests[1], "b", "127.0.0.1:10");
    assert_eq!(
        client.acquire_trial(&same_engine, b),
        Ok(TrialOutcome::Busy)
    );
    let blocked = TrialEnd::Blocked(grant_lease(&client));
    assert_eq!(
        client.end_trial(&first, blocked),
        Ok(EndTrialOutcome::Ended)
    );
    assert_eq!(
        client.acquire_trial(&same_suspect, b),
        Ok(TrialOutcome::Blocked)
    );
    assert_eq!(
        client.acquire_trial(&same_engine, b),
        Ok(TrialOutcome::Acquired)
    );
    assert_eq!(
        client.end_trial(&same_engine, TrialEnd::Cleared),
        Ok(EndTrialOutcome::Ended)
    );
    assert_eq!(
        client.acquire_trial(&same_engine, b),
        Ok(TrialOutcome::Cleared)
    );
}

/// Fails if a suspect stays quarantined after the daemon that ran its trial died, or if that daemon
/// can still end the trial after another one has taken it over.
#[test]
fn trial_of_a_dead_daemon_is_taken_over() {
    let client = MemoryStore::start().client();
    let (a, b) = (join_fleet(&client, "a"), join_fleet(&client, "b"));
    let digest = RequestDigest::of(&[b"p"]);
    let _ = client.record_suspects(&SuspectOptions {
        digests: vec![digest],
        death: None,
        lease: grant_lease(&client),
        retry_timeout: RETRY_TIMEOUT,
    });
    let old_trial = trial_options(digest, "a", "127.0.0.1:10");
    client.acquire_trial(&old_trial, a).unwrap();
    client.revoke(a.member).unwrap();
    let new_trial = trial_options(digest, "b", "127.0.0.1:10");
    assert_eq!(
        client.acquire_trial(&new_trial, b),
        Ok(TrialOutcome::Acquired)
    );
    assert_eq!(
        client.end_trial(&old_trial, TrialEnd::Cleared),
        Ok(EndTrialOutcome::Superseded)
    );
}

/// Fails if two daemons hold one lender slot: each would keep a token bucket for its teams, which
/// would get twice their limit. Also fails if a later holder has no greater fencing token.
#[test]
fn lender_slot_has_one_holder() {
    let store = MemoryStore::start();
    let client = store.client();
    let acquire = |daemon: &str, lease| {
        client.acquire_slot(&AcquireSlotOptions {
            slot: 3,
            daemon: DaemonId::new(daemon),
            lease,
            retry_timeout: RETRY_TIMEOUT,
        })
    };
    let (a, b) = (grant_lease(&client), grant_lease(&client));
    store.drop_responses(1);
    let Ok(AcquireSlotOutcome::Acquired { fence }) = acquire("a", a) else {
        panic!("the free slot was not acquired");
    };
    let held = AcquireSlotOutcome::Held(Some(DaemonId::new("a")));
    assert_eq!(acquire("b", b), Ok(held));
    client
        .release_slot(ReleaseSlotOptions { slot: 3, fence })
        .unwrap();
    let Ok(AcquireSlotOutcome::Acquired { fence: next_fence }) = acquire("b", b) else {
        panic!("the released slot was not acquired");
    };
    assert!(next_fence > fence, "fencing tokens increase");
}

/// Fails if a request that was sent through several daemons at the same time and crashed two
/// targets still gets a trial, which would crash a third. Also fails if reports of two daemons
/// about the same death count as two deaths, which would block innocent requests.
#[test]
fn second_death_blocks_without_a_trial() {
    let client = MemoryStore::start().client();
    let digest = RequestDigest::of(&[b"sent twice"]);
    let record_death = |target: &str, incarnation: Option<u64>| {
        let outcomes = client.record_suspects(&SuspectOptions {
            digests: vec![digest],
            death: Some(TargetDeath {
                target: target.parse().expect("an address"),
                incarnation: incarnation.map(Incarnation),
            }),
            lease: grant_lease(&client),
            retry_timeout: RETRY_TIMEOUT,
        });
        outcomes.into_iter().next().expect("an outcome")
    };
    assert_eq!(
        record_death("127.0.0.1:10", Some(1)),
        Ok(SuspectOutcome::Recorded)
    );
    assert_eq!(
        record_death("127.0.0.1:10", Some(1)),
        Ok(SuspectOutcome::AlreadyRecorded)
    );
    assert_eq!(
        record_death("127.0.0.1:10", None),
        Ok(SuspectOutcome::AlreadyRecorded)
    );
    assert_eq!(
        record_death("127.0.0.1:20", Some(2)),
        Ok(SuspectOutcome::Blocked)
    );
    let options = trial_options(digest, "a", "127.0.0.1:30");
    let leases = TrialLeases {
        member: grant_lease(&client),
        suspect: None,
    };
    assert_eq!(
        client.acquire_trial(&options, leases),
        Ok(TrialOutcome::Blocked)
    );
}
