//! Rules, claims, suspects and lender slots.

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

const PATIENCE: Duration = Duration::from_secs(2);

fn lease(client: &StoreClient) -> LeaseId {
    client
        .grant(GrantOptions::new(Duration::from_mins(1)))
        .unwrap()
        .lease
}

fn request(key: &str, body: &str) -> ClaimRequest {
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

fn claim(
    client: &StoreClient,
    requests: Vec<ClaimRequest>,
) -> Vec<Result<ClaimOutcome, WriteError>> {
    client.claim_orders(ClaimOptions {
        lease: lease(client),
        requests,
        retry_timeout: PATIENCE,
    })
}

fn is_won(result: &Result<ClaimOutcome, WriteError>) -> bool {
    matches!(result, Ok(ClaimOutcome::Acquired { .. }))
}

fn finish(client: &StoreClient, request: &ClaimRequest, revision: u64, state: ClaimState) {
    let mut record = request.record.clone();
    record.state = state;
    let results = client.finish_claims(FinishOptions {
        requests: vec![FinishRequest {
            key: request.key.clone(),
            record,
            mod_revision: revision,
        }],
        lease: lease(client),
        retry_timeout: PATIENCE,
    });
    assert_eq!(results, [Ok(FinishOutcome::Recorded)]);
}

fn won_revision(result: &Result<ClaimOutcome, WriteError>) -> u64 {
    match result {
        Ok(ClaimOutcome::Acquired { mod_revision }) => *mod_revision,
        other => panic!("not won: {other:?}"),
    }
}

/// Guards against a winner that gives up its order, or sends it without the claim, because the
/// store's answer was lost.
#[test]
fn lost_answer_of_a_claim_is_read_back() {
    let store = MemoryStore::start();
    let client = store.client();
    let grant = lease(&client);
    store.drop_responses(1);
    let results = client.claim_orders(ClaimOptions {
        requests: vec![request("k1", "b"), request("k2", "b")],
        lease: grant,
        retry_timeout: PATIENCE,
    });
    assert!(results.iter().all(is_won), "{results:?}");
}

/// Guards against a claim reported as not written while the write may still take effect.
#[test]
fn claim_without_any_answer_is_uncertain() {
    let store = MemoryStore::start();
    let client = store.client();
    let grant = lease(&client);
    store.drop_responses(1_000);
    let results = client.claim_orders(ClaimOptions {
        requests: vec![request("k", "b")],
        lease: grant,
        retry_timeout: Duration::from_millis(200),
    });
    assert_eq!(results, [Err(WriteError::Uncertain)]);
}

/// Guards against an order that two daemons both send.
#[test]
fn claim_raced_by_two_daemons_has_one_winner() {
    let store = MemoryStore::start();
    let races = (0..20).map(|race| {
        let key = format!("k{race}");
        let racers = [store.client(), store.client()].map(|client| {
            let request = request(&key, "b");
            std::thread::spawn(move || claim(&client, vec![request]).remove(0))
        });
        racers.map(|racer| racer.join().unwrap())
    });
    for results in races {
        let winners = results.iter().filter(|result| is_won(result)).count();
        assert_eq!(winners, 1, "{results:?}");
        assert!(
            results.contains(&Ok(ClaimOutcome::InProgress)),
            "{results:?}"
        );
    }
}

/// Guards against one taken key that makes a whole batch of claims fail, and against two claims
/// of one key in a batch which both win.
#[test]
fn conflict_in_a_batch_concerns_its_own_key_only() {
    let client = MemoryStore::start().client();
    assert!(is_won(&claim(&client, vec![request("taken", "b")])[0]));
    let batch = ["free", "taken", "twice", "twice"].map(|key| request(key, "b"));
    let results = claim(&client, batch.to_vec());
    assert!(is_won(&results[0]) && is_won(&results[2]), "{results:?}");
    assert_eq!(results[1], Ok(ClaimOutcome::InProgress));
    assert_eq!(results[3], Ok(ClaimOutcome::InProgress));
}

/// Guards against a key that names two different orders.
#[test]
fn another_body_under_the_same_key_is_refused() {
    let client = MemoryStore::start().client();
    let first = request("k", "one van");
    let revision = won_revision(&claim(&client, vec![first.clone()])[0]);
    let other = || claim(&client, vec![request("k", "two vans")]).remove(0);
    assert_eq!(other(), Ok(ClaimOutcome::BodyMismatch));
    finish(&client, &first, revision, ClaimState::NotRun);
    assert_eq!(other(), Ok(ClaimOutcome::BodyMismatch));
}

/// Guards against a re-send that runs an order again, and against one that never runs although
/// its winner recorded that it sent nothing.
#[test]
fn finished_claims_answer_a_resend() {
    let store = MemoryStore::start();
    let client = store.client();
    let (ran, unsent) = (request("ran", "b"), request("unsent", "b"));
    let won = claim(&client, vec![ran.clone(), unsent.clone()]);
    let result = OrderResult {
        status: 201,
        content_type: None,
        body: Some(ResultBody(b"booked".to_vec())),
    };
    finish(
        &client,
        &ran,
        won_revision(&won[0]),
        ClaimState::Ran(result.clone()),
    );
    finish(&client, &unsent, won_revision(&won[1]), ClaimState::NotRun);
    let again = claim(&client, vec![request("ran", "b"), request("unsent", "b")]);
    assert_eq!(again[0], Ok(ClaimOutcome::AlreadyRan(result)));
    assert!(is_won(&again[1]), "{again:?}");
}

fn change(base: &mimosagap_store::rules::StoredRules, text: &str) -> ApplyOptions {
    let delta = RulesDelta::between(base.record.revision, &base.record.text, text);
    ApplyOptions {
        base_mod_revision: base.mod_revision,
        base: base.record.revision,
        text: text.to_owned(),
        delta: serde_json::to_string(&delta).unwrap(),
    }
}

/// Guards against the second of two operators overwriting the first one's rules.
#[test]
fn second_operator_gets_a_conflict() {
    let client = MemoryStore::start().client();
    let base = client.read_rules().unwrap();
    let first = client.apply_rules(&change(&base, "a")).unwrap();
    assert_eq!(first, ApplyOutcome::Applied(RulesRevision(1)));
    let second = client.apply_rules(&change(&base, "b")).unwrap();
    let ApplyOutcome::Conflict(current) = second else {
        panic!("conflict expected, found {second:?}");
    };
    assert_eq!(current.record.text, "a");
    let third = client.apply_rules(&change(&current, "b")).unwrap();
    assert_eq!(third, ApplyOutcome::Applied(RulesRevision(2)));
}

/// Guards against a change reported as a conflict with itself after its answer was lost.
#[test]
fn lost_answer_of_an_apply_is_read_back() {
    let store = MemoryStore::start();
    let client = store.client();
    let base = client.read_rules().unwrap();
    store.drop_responses(1);
    let outcome = client.apply_rules(&change(&base, "a")).unwrap();
    assert_eq!(outcome, ApplyOutcome::Applied(RulesRevision(1)));
    assert_eq!(client.read_rules().unwrap().record.text, "a");
}

/// Guards against a large change that the store refuses because its delta is longer than 1 MB.
#[test]
fn large_change_is_stored_without_its_delta() {
    let store = MemoryStore::start();
    let client = store.client();
    let text = "# \"rule\"\n".repeat(90_000);
    let base = client.read_rules().unwrap();
    store.drop_responses(1);
    let outcome = client.apply_rules(&change(&base, &text)).unwrap();
    assert_eq!(outcome, ApplyOutcome::Applied(RulesRevision(1)));
    let deltas = mimosagap_store::RangeOptions::with_prefix("mg/c/rules/delta/");
    let entries = client.range(deltas).unwrap().entries;
    assert!(entries[0].value.len() < 1_000_000);
    let record = DeltaRecord::parse(&entries[0].value).unwrap();
    assert_eq!(record.to_delta(), None);
}

/// Guards against deltas that pile up in the store until the initial read fails.
#[test]
fn old_deltas_are_dropped() {
    let client = MemoryStore::start().client();
    for number in 0..80 {
        let base = client.read_rules().unwrap();
        client
            .apply_rules(&change(&base, &number.to_string()))
            .unwrap();
    }
    let deltas = mimosagap_store::RangeOptions::with_prefix("mg/c/rules/delta/");
    assert_eq!(client.range(deltas).unwrap().entries.len(), 64);
}

fn trial(digest: RequestDigest, daemon: &str, engine: &str) -> TrialOptions {
    TrialOptions {
        digest,
        engine: engine.parse().unwrap(),
        daemon: DaemonId::new(daemon),
        nonce: Nonce::random(),
        retry_timeout: PATIENCE,
    }
}

fn join(client: &StoreClient, daemon: &str) -> TrialLeases {
    let lease = lease(client);
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

/// Guards against a suspect that runs on two engines at once, and against two suspects on one
/// engine, whose death would then not name the one responsible.
#[test]
fn trials_are_exclusive() {
    let client = MemoryStore::start().client();
    let (a, b) = (join(&client, "a"), join(&client, "b"));
    let digests = [b"p1", b"p2"].map(|part| RequestDigest::of(&[part]));
    let recorded = client.record_suspects(&SuspectOptions {
        digests: digests.to_vec(),
        death: None,
        lease: lease(&client),
        retry_timeout: PATIENCE,
    });
    assert!(recorded.iter().all(Result::is_ok));
    let first = trial(digests[0], "a", "127.0.0.1:10");
    assert_eq!(client.acquire_trial(&first, a), Ok(TrialOutcome::Acquired));
    let same_suspect = trial(digests[0], "b", "127.0.0.1:11");
    assert_eq!(
        client.acquire_trial(&same_suspect, b),
        Ok(TrialOutcome::Busy)
    );
    let same_engine = trial(digests[1], "b", "127.0.0.1:10");
    assert_eq!(
        client.acquire_trial(&same_engine, b),
        Ok(TrialOutcome::Busy)
    );
    let blocked = TrialEnd::Blocked(lease(&client));
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

/// Guards against a suspect that stays quarantined because the daemon which ran its trial died,
/// and against that daemon ending a trial which is no longer its own.
#[test]
fn trial_of_a_dead_daemon_is_taken_over() {
    let client = MemoryStore::start().client();
    let (a, b) = (join(&client, "a"), join(&client, "b"));
    let digest = RequestDigest::of(&[b"p"]);
    let _ = client.record_suspects(&SuspectOptions {
        digests: vec![digest],
        death: None,
        lease: lease(&client),
        retry_timeout: PATIENCE,
    });
    let old = trial(digest, "a", "127.0.0.1:10");
    client.acquire_trial(&old, a).unwrap();
    client.revoke(a.member).unwrap();
    let new = trial(digest, "b", "127.0.0.1:10");
    assert_eq!(client.acquire_trial(&new, b), Ok(TrialOutcome::Acquired));
    assert_eq!(
        client.end_trial(&old, TrialEnd::Cleared),
        Ok(EndTrialOutcome::Superseded)
    );
}

/// Guards against two lenders of one slot, whose teams would get twice their limit.
#[test]
fn lender_slot_has_one_holder() {
    let store = MemoryStore::start();
    let client = store.client();
    let take = |daemon: &str, lease| {
        client.acquire_slot(&AcquireSlotOptions {
            slot: 3,
            daemon: DaemonId::new(daemon),
            lease,
            retry_timeout: PATIENCE,
        })
    };
    let (a, b) = (lease(&client), lease(&client));
    store.drop_responses(1);
    let Ok(AcquireSlotOutcome::Acquired { fence }) = take("a", a) else {
        panic!("the free slot is not taken");
    };
    let held = AcquireSlotOutcome::Held(Some(DaemonId::new("a")));
    assert_eq!(take("b", b), Ok(held));
    client
        .release_slot(ReleaseSlotOptions { slot: 3, fence })
        .unwrap();
    let Ok(AcquireSlotOutcome::Acquired { fence: next }) = take("b", b) else {
        panic!("the released slot is not taken");
    };
    assert!(next > fence, "fencing numbers grow");
}

/// Guards against a request that was sent to several daemons at the same moment, took two targets
/// down, and then takes down a third in a trial; and against innocent requests that are blocked
/// because two daemons saw the same death.
#[test]
fn a_second_death_blocks_without_a_trial() {
    let client = MemoryStore::start().client();
    let digest = RequestDigest::of(&[b"sent twice"]);
    let record = |target: &str, incarnation: Option<u64>| {
        let outcomes = client.record_suspects(&SuspectOptions {
            digests: vec![digest],
            death: Some(TargetDeath {
                target: target.parse().expect("an address"),
                incarnation: incarnation.map(Incarnation),
            }),
            lease: lease(&client),
            retry_timeout: PATIENCE,
        });
        outcomes.into_iter().next().expect("an outcome")
    };
    assert_eq!(
        record("127.0.0.1:10", Some(1)),
        Ok(SuspectOutcome::Recorded)
    );
    assert_eq!(
        record("127.0.0.1:10", Some(1)),
        Ok(SuspectOutcome::AlreadyRecorded)
    );
    assert_eq!(
        record("127.0.0.1:10", None),
        Ok(SuspectOutcome::AlreadyRecorded)
    );
    assert_eq!(record("127.0.0.1:20", Some(2)), Ok(SuspectOutcome::Blocked));
    let options = trial(digest, "a", "127.0.0.1:30");
    let leases = TrialLeases {
        member: lease(&client),
        suspect: None,
    };
    assert_eq!(
        client.acquire_trial(&options, leases),
        Ok(TrialOutcome::Blocked)
    );
}
