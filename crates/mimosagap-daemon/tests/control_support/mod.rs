//! Runs the control tasks of daemons, without their reducers, against a store in memory.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_core::{ClaimAnswer, Effect, Event, TrialAnswer};
use mimosagap_daemon::control::{ControlHandle, ControlOptions};
use mimosagap_daemon::driver::EventSender;
use mimosagap_rules::RulesDelta;
use mimosagap_settings::Settings;
use mimosagap_store::rules::{ApplyOptions, ApplyOutcome};
use mimosagap_types::prelude::*;

#[path = "../../../mimosagap-store/tests/support/mod.rs"]
pub mod store;

use store::MemoryStore;

static NEXT_DAEMON_NUMBER: AtomicU64 = AtomicU64::new(1);
static NEXT_PORT_INDEX: AtomicU16 = AtomicU16::new(0);

pub const FLEET_KEY: &[u8] = b"mimosagap-test-key-001";

/// Returns an unused loopback address. Its IP address is derived from the id of this process,
/// because the operating system may assign an unused port twice.
pub fn unused_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let index = NEXT_PORT_INDEX.fetch_add(1, Ordering::SeqCst);
    let port = 20_000 + index * 8 + u16::from(high % 8);
    SocketAddr::from(([127, 64 + middle % 64, low, 1], port))
}

/// The control tasks of one daemon. Records the events that they send to the reducer.
pub struct ControlDaemon {
    pub control: ControlHandle,
    pub id: DaemonId,
    pub peer_address: SocketAddr,
    events: Arc<Mutex<Vec<Event>>>,
}

impl ControlDaemon {
    pub fn start(store: &MemoryStore, peers: &[SocketAddr]) -> Self {
        Self::start_at(store.address, unused_address(), peers)
    }

    pub fn start_at(store: SocketAddr, peer_address: SocketAddr, peers: &[SocketAddr]) -> Self {
        let settings = serde_json::json!({
            "location": {"zone": "norte-a1", "region": "norte-a"},
            "listen": {
                "callers": unused_address(), "peers": peer_address, "admin": unused_address(),
            },
            "store": {"address": store, "timeout_ms": 300},
            "host_list": unused_address(),
            "peers": peers,
            "fleet_keys": ["bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ=="],
            "deployments": [],
        });
        let settings = Settings::parse(&settings.to_string()).unwrap();
        let number = NEXT_DAEMON_NUMBER.fetch_add(1, Ordering::SeqCst);
        let id = DaemonId::new(&format!("daemon-{number:04}"));
        let (sender, mut receiver) = EventSender::new();
        let control = ControlHandle::start(ControlOptions {
            settings: Arc::new(settings),
            daemon_id: id.clone(),
            clock: Arc::new(SystemClock),
            events: sender,
        });
        let events = Arc::new(Mutex::new(Vec::new()));
        let (recorded_events, lender_control) = (Arc::clone(&events), control.clone());
        tokio::spawn(async move {
            while let Some(event) = receiver.recv().await {
                grant_requested_credit(&lender_control, &event);
                recorded_events.lock().unwrap().push(event);
            }
        });
        Self {
            control,
            id,
            peer_address,
            events,
        }
    }

    /// Returns the first match of `matcher` among the events so far.
    pub fn find_event<T>(&self, matcher: impl FnMut(&Event) -> Option<T>) -> Option<T> {
        self.events.lock().unwrap().iter().find_map(matcher)
    }

    /// Returns all matches of `matcher` among the events so far.
    pub fn collect_events<T>(&self, matcher: impl FnMut(&Event) -> Option<T>) -> Vec<T> {
        self.events
            .lock()
            .unwrap()
            .iter()
            .filter_map(matcher)
            .collect()
    }

    /// Waits for the first event that `matcher` matches.
    pub async fn wait_for_event<T>(
        &self,
        description: &str,
        mut matcher: impl FnMut(&Event) -> Option<T>,
    ) -> T {
        wait_for(description, || self.find_event(&mut matcher)).await
    }

    pub fn rule_revisions(&self) -> Vec<u64> {
        self.collect_events(|event| match event {
            Event::RulesReceived(set) => Some(set.revision.0),
            _ => None,
        })
    }

    pub async fn wait_for_revision(&self, revision: u64) {
        self.wait_for_event(&format!("revision {revision}"), |event| match event {
            Event::RulesReceived(set) if set.revision.0 == revision => Some(()),
            _ => None,
        })
        .await;
    }

    pub fn member_ids(&self) -> Vec<DaemonId> {
        let members = self.control.members();
        members.into_iter().map(|member| member.id).collect()
    }

    pub fn held_slots(&self) -> Vec<u16> {
        let reports = self.collect_events(|event| match event {
            Event::LenderSlotsHeld { slots, .. } => Some(slots.clone()),
            _ => None,
        });
        reports.into_iter().next_back().unwrap_or_default()
    }

    pub async fn claim(&self, ticket: u64, key: &str, body: &str) -> ClaimAnswer {
        self.send_claim(ticket, key, body);
        self.wait_for_claim_answer(ticket).await
    }

    pub fn send_claim(&self, ticket: u64, key: &str, body: &str) {
        self.control.execute_effect(Effect::Claim {
            ticket: RequestTicket(ticket),
            key: order_key(key),
            digest: RequestDigest::of(&[body.as_bytes()]),
        });
    }

    pub async fn wait_for_claim_answer(&self, ticket: u64) -> ClaimAnswer {
        self.wait_for_event("the claim's answer", |event| match event {
            Event::ClaimAnswered {
                ticket: found,
                answer,
            } if found.0 == ticket => Some(answer.clone()),
            _ => None,
        })
        .await
    }

    pub async fn acquire_trial(&self, ticket: u64, digest: RequestDigest) -> TrialAnswer {
        self.control.execute_effect(Effect::AcquireTrial {
            ticket: RequestTicket(ticket),
            digest,
            target: "127.0.0.1:1".parse().unwrap(),
        });
        self.wait_for_event("the trial's answer", |event| match event {
            Event::TrialAnswered {
                ticket: found,
                answer,
            } if found.0 == ticket => Some(*answer),
            _ => None,
        })
        .await
    }

    pub async fn wait_until_registered(&self) {
        wait_for("the first renewal", || {
            (self.control.counts().lease_renewals > 0).then_some(())
        })
        .await;
    }
}

/// Grants requested credit in full, as a reducer with enough credit does.
fn grant_requested_credit(control: &ControlHandle, event: &Event) {
    if let Event::CreditRequested {
        request_id,
        team,
        wanted,
    } = event
    {
        control.execute_effect(Effect::AnswerCredit {
            request_id: *request_id,
            team: team.clone(),
            granted: *wanted,
        });
    }
}

pub fn order_key(key: &str) -> OrderKey {
    OrderKey {
        team: TeamName::new("floors"),
        key: RequestDigest::of(&[key.as_bytes()]),
    }
}

/// Polls `matcher` until it returns a value; panics after 8 s.
pub async fn wait_for<T>(description: &str, mut matcher: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        if let Some(found) = matcher() {
            return found;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Applies the next rule revision. Its text is 40 empty lines and a line that contains the
/// revision.
pub async fn apply_rules(store: &MemoryStore) -> u64 {
    apply_rules_with_prefix(store, "\n".repeat(40)).await
}

/// Applies the next rule revision. Its text is `prefix` and a line that contains the revision.
pub async fn apply_rules_with_prefix(store: &MemoryStore, prefix: String) -> u64 {
    let client = store.client();
    let apply = move || {
        let base = client.read_rules().unwrap();
        let revision = base.record.revision.0 + 1;
        let text = format!("{prefix}queue limit {revision} wait 30 s # manager: test\n");
        let delta = RulesDelta::between(base.record.revision, &base.record.text, &text);
        let options = ApplyOptions {
            base_mod_revision: base.mod_revision,
            base: base.record.revision,
            text,
            delta: serde_json::to_string(&delta).unwrap(),
        };
        let outcome = client.apply_rules(&options).unwrap();
        assert_eq!(outcome, ApplyOutcome::Applied(RulesRevision(revision)));
        revision
    };
    tokio::task::spawn_blocking(apply).await.unwrap()
}
