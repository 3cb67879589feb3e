//! The newest rules known, and their exchange with peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosagap_core::Event;
use mimosagap_peer::{Reply, Request, RulesAnswer};
use mimosagap_rules::{RuleSet, RulesDelta};
use mimosagap_store::rules::RulesError;
use mimosagap_store::{StoreClient, keys};
use mimosagap_types::prelude::*;

use super::shared::Control;

const PULL_TIMEOUT: Duration = Duration::from_secs(3);
const KEPT_DELTAS: usize = 64;

/// The rules in force and the latest deltas.
#[derive(Debug, Default)]
pub(super) struct RulesCache {
    current: Option<Arc<RuleSet>>,
    deltas: BTreeMap<RulesRevision, RulesDelta>,
}

impl RulesCache {
    /// The revision in force; 0 before any is known.
    pub(super) fn revision(&self) -> RulesRevision {
        self.current
            .as_ref()
            .map_or(RulesRevision(0), |set| set.revision)
    }

    pub(super) fn is_known(&self) -> bool {
        self.current.is_some()
    }

    fn is_news(&self, revision: RulesRevision) -> bool {
        self.current
            .as_ref()
            .is_none_or(|set| revision > set.revision)
    }

    fn keep_delta(&mut self, delta: RulesDelta) {
        self.deltas.insert(delta.revision, delta);
        while self.deltas.len() > KEPT_DELTAS {
            self.deltas.pop_first();
        }
    }

    /// Answers a peer which has revision `have`: with deltas if all are at hand and smaller than
    /// the text.
    pub(super) fn answer(&self, have: RulesRevision) -> RulesAnswer {
        let Some(set) = self.current.as_ref().filter(|set| set.revision > have) else {
            return RulesAnswer::UpToDate;
        };
        let next = RulesRevision(have.0 + 1);
        let deltas: Vec<RulesDelta> = self
            .deltas
            .range(next..=set.revision)
            .map(|(_, delta)| delta.clone())
            .collect();
        let is_complete = deltas.len() as u64 == set.revision.0 - have.0;
        let inserted = deltas.iter().flat_map(|delta| &delta.edits);
        let bytes: usize = inserted
            .flat_map(|edit| &edit.inserted)
            .map(String::len)
            .sum();
        if is_complete && have.0 > 0 && bytes < set.text.len() {
            return RulesAnswer::Deltas(deltas);
        }
        RulesAnswer::FullText {
            revision: set.revision,
            text: set.text.to_string(),
        }
    }
}

/// Reads the text in the store and adopts it if it is newer. The text lies outside the watched
/// records: with each change it would cost 190 KB and more where the delta costs some hundred bytes.
/// Returns whether the store answered.
pub(super) async fn read_text(control: &Control) -> bool {
    match control.store.call(StoreClient::read_rules).await {
        Ok(stored) if stored.mod_revision == 0 => found_none(control),
        Ok(stored) => {
            adopt_text(control, stored.record.revision, &stored.record.text);
        }
        Err(RulesError::Call(_)) => return false,
        Err(RulesError::Malformed) => log::error!(
            "event=rules_malformed key={}; apply the rules again",
            keys::RULES_TEXT
        ),
    }
    true
}

/// The store was read and has no rules.
fn found_none(control: &Control) {
    let mut cache = control.rules();
    if !cache.is_known() {
        let set = Arc::new(RuleSet::empty());
        cache.current = Some(Arc::clone(&set));
        control.send(Event::RulesReceived(set));
    }
}

/// Adopts a whole text if its revision is newer. Returns whether it is in force now.
pub(super) fn adopt_text(control: &Control, revision: RulesRevision, text: &str) -> bool {
    let mut cache = control.rules();
    if !cache.is_news(revision) {
        return false;
    }
    let adopted = compile(control, &mut cache, revision, text);
    if adopted {
        control.counters.rules_from_text.add(1);
    }
    adopted
}

/// Keeps a delta for peers, and adopts its revision if it follows the one in force.
pub(super) fn adopt_delta(control: &Control, delta: RulesDelta) -> bool {
    let mut cache = control.rules();
    let Some(set) = cache.current.clone() else {
        cache.keep_delta(delta);
        return false;
    };
    let follows = delta.base == set.revision && delta.revision > set.revision;
    let text = follows.then(|| delta.apply(set.revision, &set.text));
    let revision = delta.revision;
    cache.keep_delta(delta);
    match text {
        Some(Ok(text)) => {
            let adopted = compile(control, &mut cache, revision, &text);
            if adopted {
                control.counters.rules_from_delta.add(1);
            }
            adopted
        }
        Some(Err(error)) => {
            control.counters.rules_refused.add(1);
            log::error!("event=delta_refused revision={revision} cause=\"{error}\"");
            false
        }
        None => false,
    }
}

fn compile(control: &Control, cache: &mut RulesCache, revision: RulesRevision, text: &str) -> bool {
    match RuleSet::compile(revision, text) {
        Ok(set) => {
            let set = Arc::new(set);
            cache.current = Some(Arc::clone(&set));
            control.send(Event::RulesReceived(set));
            true
        }
        Err(errors) => {
            control.counters.rules_refused.add(1);
            let first = errors.first().map(ToString::to_string).unwrap_or_default();
            log::error!("event=rules_refused revision={revision} cause=\"{first}\"");
            false
        }
    }
}

/// Asks peers for newer rules, unless questions are under way. The peers come with the revisions
/// that they claim, the newest first; the others are asked if those before supply none.
pub(super) fn pull(control: &Arc<Control>, peers: Vec<(RulesRevision, SocketAddr)>) {
    if control.pulling.swap(true, Ordering::SeqCst) {
        return;
    }
    let control = Arc::clone(control);
    tokio::spawn(async move {
        for (revision, peer) in peers {
            if revision > control.rules().revision() {
                pull_from(&control, peer).await;
            }
        }
        control.pulling.store(false, Ordering::SeqCst);
    });
}

async fn pull_from(control: &Control, peer: SocketAddr) {
    let have = control.rules().revision();
    if !pull_once(control, peer, have).await && control.rules().revision() == have {
        // Deltas that do not fit are no reason to stay behind.
        pull_once(control, peer, RulesRevision(0)).await;
    }
}

async fn pull_once(control: &Control, peer: SocketAddr, known_revision: RulesRevision) -> bool {
    let request = Request::PullRules { known_revision };
    let Ok(outcome) = control.ask(peer, request, PULL_TIMEOUT).await else {
        return true;
    };
    match outcome.reply {
        Reply::Rules(RulesAnswer::FullText { revision, text }) => {
            adopt_text(control, revision, &text);
            true
        }
        Reply::Rules(RulesAnswer::Deltas(deltas)) => deltas
            .into_iter()
            .fold(false, |_, delta| adopt_delta(control, delta)),
        _ => true,
    }
}
