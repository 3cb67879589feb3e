//! State shared by the control tasks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosagap_core::{Event, Member};
use mimosagap_peer::{
    ClientOptions, ExchangeError, ExchangeOptions, ExchangeOutcome, PeerClient, PeerCounters,
    Request,
};
use mimosagap_store::StoreOptions;
use mimosagap_types::prelude::*;
use tokio::sync::{Notify, Semaphore, mpsc, watch};

use super::ControlOptions;
use super::claim_results::PendingResult;
use super::claims::{ClaimTable, PendingClaim};
use super::counters::{ControlCounters, ControlCounts};
use super::credit::CreditRequests;
use super::fleet::FleetView;
use super::membership::MemberLease;
use super::notices::SeenNotices;
use super::rules::RulesCache;
use super::slots::SlotTable;
use super::store::StoreAccess;
use super::suspects::SuspectTable;

const MAX_QUEUED_CLAIMS: usize = 10_000;
const MAX_QUEUED_RESULTS: usize = 4_096;
const MAX_CONCURRENT_NOTICES: usize = 256;
const MAX_CONCURRENT_CREDIT_REQUESTS: usize = 256;

/// State and handles shared by all control tasks.
pub(super) struct ControlContext {
    pub(super) options: ControlOptions,
    pub(super) store: StoreAccess,
    pub(super) peers: PeerClient,
    pub(super) peer_counters: Arc<PeerCounters>,
    pub(super) counters: ControlCounters,
    pub(super) claims: ClaimTable,
    /// Queue of final states to be recorded in claims.
    pub(super) results: mpsc::Sender<PendingResult>,
    pub(super) suspects: SuspectTable,
    pub(super) credit_requests: CreditRequests,
    pub(super) notices: SeenNotices,
    /// Limits the concurrent deliveries of notices.
    pub(super) notice_permits: Arc<Semaphore>,
    /// Limits the concurrent credit requests to lenders.
    pub(super) credit_permits: Arc<Semaphore>,
    /// Whether this daemon is marked as leaving.
    pub(super) leaving: AtomicBool,
    /// Whether rules are being requested from peers.
    pub(super) pull_in_progress: AtomicBool,
    /// Whether the watch is established, so that the known records match the store's.
    pub(super) is_watching: AtomicBool,
    /// Wakes the membership task ahead of its next renewal.
    pub(super) renewal_wakeup: Notify,
    /// Whether the next renewal must write the membership record.
    pub(super) member_record_stale: AtomicBool,
    /// Set to `true` to stop all control tasks.
    pub(super) stop: watch::Sender<bool>,
    /// Set to `true` once the membership lease is revoked.
    pub(super) lease_released: watch::Sender<bool>,
    /// Set to `true` once the queued final states are written.
    pub(super) results_flushed: watch::Sender<bool>,
    fleet: Mutex<FleetView>,
    rules: Mutex<RulesCache>,
    slots: Mutex<SlotTable>,
    lease: Mutex<Option<MemberLease>>,
    /// Recently placed tokens of each engine, for the digests.
    placements: Mutex<Vec<(TargetAddress, u64)>>,
}

/// Receivers of the queues, for the tasks that drain them.
pub(super) struct QueueReceivers {
    pub(super) claims: mpsc::Receiver<PendingClaim>,
    pub(super) results: mpsc::Receiver<PendingResult>,
}

/// Locks a mutex, and ignores poisoning: the data stays valid when a holder panics.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlContext {
    pub(super) fn new(options: ControlOptions) -> (Arc<Self>, QueueReceivers) {
        let settings = &options.settings;
        let store_options = StoreOptions {
            address: settings.store.address,
            timeout: settings.store.timeout(),
        };
        let peer_counters = Arc::new(PeerCounters::default());
        let peers = PeerClient::new(ClientOptions {
            daemon: options.daemon_id.clone(),
            keys: settings.decode_fleet_keys(),
            clock: Arc::clone(&options.clock),
            counters: Arc::clone(&peer_counters),
        });
        let (claims, claim_receiver) = mpsc::channel(MAX_QUEUED_CLAIMS);
        let (results, result_receiver) = mpsc::channel(MAX_QUEUED_RESULTS);
        let fleet = FleetView::new(own_member(&options, false));
        let context = Self {
            store: StoreAccess::new(store_options, options.events.clone()),
            peers,
            peer_counters,
            counters: ControlCounters::default(),
            claims: ClaimTable::new(claims),
            results,
            suspects: SuspectTable::default(),
            credit_requests: CreditRequests::default(),
            notices: SeenNotices::default(),
            notice_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_NOTICES)),
            credit_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CREDIT_REQUESTS)),
            leaving: AtomicBool::new(false),
            pull_in_progress: AtomicBool::new(false),
            is_watching: AtomicBool::new(false),
            renewal_wakeup: Notify::new(),
            member_record_stale: AtomicBool::new(false),
            stop: watch::Sender::new(false),
            lease_released: watch::Sender::new(false),
            results_flushed: watch::Sender::new(false),
            fleet: Mutex::new(fleet),
            rules: Mutex::default(),
            slots: Mutex::default(),
            lease: Mutex::new(None),
            placements: Mutex::default(),
            options,
        };
        let receivers = QueueReceivers {
            claims: claim_receiver,
            results: result_receiver,
        };
        (Arc::new(context), receivers)
    }

    pub(super) fn fleet(&self) -> MutexGuard<'_, FleetView> {
        lock(&self.fleet)
    }

    pub(super) fn rules(&self) -> MutexGuard<'_, RulesCache> {
        lock(&self.rules)
    }

    pub(super) fn slots(&self) -> MutexGuard<'_, SlotTable> {
        lock(&self.slots)
    }

    pub(super) fn lease(&self) -> MutexGuard<'_, Option<MemberLease>> {
        lock(&self.lease)
    }

    pub(super) fn set_placements(&self, placements: Vec<(TargetAddress, u64)>) {
        *lock(&self.placements) = placements;
    }

    pub(super) fn placements(&self) -> Vec<(TargetAddress, u64)> {
        lock(&self.placements).clone()
    }

    pub(super) fn now(&self) -> Instant {
        self.options.clock.now()
    }

    pub(super) fn send(&self, event: Event) {
        self.options.events.send(event);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns this daemon's own member data.
    pub(super) fn member(&self) -> Member {
        own_member(&self.options, self.is_leaving())
    }

    /// Makes the membership task write the membership record again at once.
    pub(super) fn refresh_member_record(&self) {
        self.member_record_stale.store(true, Ordering::SeqCst);
        self.renewal_wakeup.notify_one();
        self.report_member_changes();
    }

    /// Reports the members to the reducer if they differ from the last report.
    pub(super) fn report_member_changes(&self) {
        let is_store_current = self.is_watching.load(Ordering::SeqCst);
        let changed_members = self
            .fleet()
            .refresh(self.member(), self.now(), is_store_current);
        if let Some(members) = changed_members {
            self.send(Event::MembersChanged(members));
        }
    }

    pub(super) fn counts(&self) -> ControlCounts {
        self.counters
            .snapshot(self.store.client().counts(), self.peer_counters.snapshot())
    }

    /// Returns the peer addresses of all other daemons. While the watch on the store is not
    /// established, these include the addresses in the settings.
    pub(super) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let own_address = self.options.settings.listen.peers;
        let mut addresses = if self.is_watching.load(Ordering::SeqCst) {
            self.fleet().peer_addresses()
        } else {
            let mut known_addresses = self.fleet().known_addresses();
            known_addresses.extend(&self.options.settings.peers);
            known_addresses
        };
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own_address);
        addresses
    }

    /// Sends a request to a peer and awaits the reply. Updates the peer's reachability, and reports
    /// a peer that was reached to the reducer.
    pub(super) async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let options = ExchangeOptions {
            peer,
            request,
            timeout,
        };
        let result = self.peers.exchange(options).await;
        match &result {
            Ok(outcome) => {
                self.fleet().mark_reachable(peer);
                self.send(Event::PeerReached {
                    daemon: outcome.peer.clone(),
                });
            }
            Err(_) => self.fleet().mark_unreachable(peer, self.now()),
        }
        result
    }

    /// Resolves once the control tasks must stop.
    pub(super) async fn stopping(&self) {
        let mut stop = self.stop.subscribe();
        let _ = stop.wait_for(|stop| *stop).await;
    }

    /// Sleeps and returns `true`, or returns `false` as soon as the control tasks must stop.
    pub(super) async fn sleep(&self, delay: Duration) -> bool {
        tokio::select! {
            () = tokio::time::sleep(delay) => true,
            () = self.stopping() => false,
        }
    }
}

fn own_member(options: &ControlOptions, leaving: bool) -> Member {
    let settings = &options.settings;
    Member {
        id: options.daemon_id.clone(),
        caller_address: settings.listen.callers,
        peer_address: settings.listen.peers,
        admin_address: settings.listen.admin,
        zone: settings.location.zone.clone(),
        region: settings.location.region.clone(),
        leaving,
    }
}
