//! The active rules: loads them from the store, and exchanges them with peers.

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

use super::context::ControlContext;

const PULL_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_CACHED_DELTAS: usize = 64;

/// The active rules, and the latest deltas for peers.
#[derive(Debug, Default)]
pub(super) struct RulesCache {
    current: Option<Arc<RuleSet>>,
    deltas: BTreeMap<RulesRevision, RulesDelta>,
}

impl RulesCache {
    /// Returns the active revision; 0 before any rules are loaded.
    pub(super) fn revision(&self) -> RulesRevision {
        self.current
            .as_ref()
            .map_or(RulesRevision(0), |set| set.revision)
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.current.is_some()
    }

    fn is_newer(&self, revision: RulesRevision) -> bool {
        self.current
            .as_ref()
            .is_none_or(|set| revision > set.revision)
    }

    fn cache_delta(&mut self, delta: RulesDelta) {
        self.deltas.insert(delta.revision, delta);
        while self.deltas.len() > MAX_CACHED_DELTAS {
            self.deltas.pop_first();
        }
    }

    /// Builds the answer to a peer that has `peer_revision`: deltas if all of them are cached and
    /// smaller than the full text, otherwise the text.
    pub(super) fn answer_pull(&self, peer_revision: RulesRevision) -> RulesAnswer {
        let Some(set) = self
            .current
            .as_ref()
            .filter(|set| set.revision > peer_revision)
        else {
            return RulesAnswer::UpToDate;
        };
        let next_revision = RulesRevision(peer_revision.0 + 1);
        let deltas: Vec<RulesDelta> = self
            .deltas
            .range(next_revision..=set.revision)
            .map(|(_, delta)| delta.clone())
            .collect();
        let is_complete = deltas.len() as u64 == set.revision.0 - peer_revision.0;
        let edits = deltas.iter().flat_map(|delta| &delta.edits);
        let delta_bytes: usize = edits.flat_map(|edit| &edit.inserted).map(String::len).sum();
        if is_complete && peer_revision.0 > 0 && delta_bytes < set.text.len() {
            return RulesAnswer::Deltas(deltas);
        }
        RulesAnswer::FullText {
            revision: set.revision,
            text: set.text.to_string(),
        }
    }
}

/// Reads the full text from the store and activates it if it is newer. The text is not among the
/// watched records, because each change would transfer at least 190 KB where the delta takes some
/// hundred bytes. Returns whether the store answered.
pub(super) async fn load_stored_text(context: &ControlContext) -> bool {
    match context.store.call(StoreClient::read_rules).await {
        Ok(stored) if stored.mod_revision == 0 => adopt_empty(context),
        Ok(stored) => {
            adopt_text(context, stored.record.revision, &stored.record.text);
        }
        Err(RulesError::Call(_)) => return false,
        Err(RulesError::Malformed) => log::error!(
            "event=rules_malformed key={}; apply the rules again",
            keys::RULES_TEXT
        ),
    }
    true
}

/// Activates the empty rules when the store has none and no others are loaded.
fn adopt_empty(context: &ControlContext) {
    let mut cache = context.rules();
    if !cache.is_loaded() {
        let set = Arc::new(RuleSet::empty());
        cache.current = Some(Arc::clone(&set));
        context.send(Event::RulesReceived(set));
    }
}

/// Activates a full text if its revision is newer. Returns whether it is active now.
pub(super) fn adopt_text(context: &ControlContext, revision: RulesRevision, text: &str) -> bool {
    let mut cache = context.rules();
    if !cache.is_newer(revision) {
        return false;
    }
    let is_active = compile_and_activate(context, &mut cache, revision, text);
    if is_active {
        context.counters.rules_from_text.add(1);
    }
    is_active
}

/// Caches a delta for peers, and activates its revision if it follows the active one. Returns
/// whether it is active now.
pub(super) fn adopt_delta(context: &ControlContext, delta: RulesDelta) -> bool {
    let mut cache = context.rules();
    let Some(set) = cache.current.clone() else {
        cache.cache_delta(delta);
        return false;
    };
    let is_successor = delta.base == set.revision && delta.revision > set.revision;
    let text = is_successor.then(|| delta.apply(set.revision, &set.text));
    let revision = delta.revision;
    cache.cache_delta(delta);
    match text {
        Some(Ok(text)) => {
            let is_active = compile_and_activate(context, &mut cache, revision, &text);
            if is_active {
                context.counters.rules_from_delta.add(1);
            }
            is_active
        }
        Some(Err(error)) => {
            context.counters.rules_refused.add(1);
            log::error!(
                "event=delta_refused revision={revision} cause=\"{error}\"; reading the full text \
                 instead"
            );
            false
        }
        None => false,
    }
}

fn compile_and_activate(
    context: &ControlContext,
    cache: &mut RulesCache,
    revision: RulesRevision,
    text: &str,
) -> bool {
    match RuleSet::compile(revision, text) {
        Ok(set) => {
            let set = Arc::new(set);
            cache.current = Some(Arc::clone(&set));
            context.send(Event::RulesReceived(set));
            true
        }
        Err(errors) => {
            context.counters.rules_refused.add(1);
            let first_error = errors.first().map(ToString::to_string).unwrap_or_default();
            log::error!(
                "event=rules_refused revision={revision} cause=\"{first_error}\"; correct the rules \
                 and apply them again"
            );
            false
        }
    }
}

/// Requests newer rules from peers, unless a pull is in progress. `peers` holds each peer with the
/// revision that it announced, newest first; later ones are asked only if the earlier ones supply
/// none.
pub(super) fn start_pull(context: &Arc<ControlContext>, peers: Vec<(RulesRevision, SocketAddr)>) {
    if context.pull_in_progress.swap(true, Ordering::SeqCst) {
        return;
    }
    let context = Arc::clone(context);
    tokio::spawn(async move {
        for (revision, peer) in peers {
            if revision > context.rules().revision() {
                pull_from_peer(&context, peer).await;
            }
        }
        context.pull_in_progress.store(false, Ordering::SeqCst);
    });
}

async fn pull_from_peer(context: &ControlContext, peer: SocketAddr) {
    let known_revision = context.rules().revision();
    if !pull_once(context, peer, known_revision).await
        && context.rules().revision() == known_revision
    {
        // The deltas did not apply, so the full text is requested.
        pull_once(context, peer, RulesRevision(0)).await;
    }
}

/// Requests the rules after revision `known_revision` from one peer. Returns `false` if the peer sent deltas
/// and the last one did not apply.
async fn pull_once(
    context: &ControlContext,
    peer: SocketAddr,
    known_revision: RulesRevision,
) -> bool {
    let request = Request::PullRules { known_revision };
    let Ok(outcome) = context.exchange(peer, request, PULL_TIMEOUT).await else {
        return true;
    };
    match outcome.reply {
        Reply::Rules(RulesAnswer::FullText { revision, text }) => {
            adopt_text(context, revision, &text);
            true
        }
        Reply::Rules(RulesAnswer::Deltas(deltas)) => deltas
            .into_iter()
            .fold(false, |_, delta| adopt_delta(context, delta)),
        _ => true,
    }
}
