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
use super::claims::{ClaimJob, ClaimTable};
use super::counters::{ControlCounters, ControlCounts};
use super::credit::Questions;
use super::fleet::FleetView;
use super::membership::HeldLease;
use super::notices::SeenNotices;
use super::results::FinishJob;
use super::rules::RulesCache;
use super::slots::SlotTable;
use super::store::StoreAccess;
use super::suspects::SuspectTable;

const MAX_CLAIM_JOBS: usize = 10_000;
const MAX_FINISH_JOBS: usize = 4_096;
const MAX_NOTICE_SENDS: usize = 256;
const MAX_CREDIT_ASKS: usize = 256;

pub(super) struct Control {
    pub(super) options: ControlOptions,
    pub(super) store: StoreAccess,
    pub(super) peers: PeerClient,
    pub(super) peer_counters: Arc<PeerCounters>,
    pub(super) counters: ControlCounters,
    pub(super) claims: ClaimTable,
    pub(super) results: mpsc::Sender<FinishJob>,
    pub(super) suspects: SuspectTable,
    pub(super) questions: Questions,
    pub(super) notices: SeenNotices,
    pub(super) notice_room: Arc<Semaphore>,
    pub(super) credit_room: Arc<Semaphore>,
    pub(super) leaving: AtomicBool,
    pub(super) pulling: AtomicBool,
    /// Whether the watch shows the store's records as they are.
    pub(super) is_watching: AtomicBool,
    /// Wakes the membership task before its next renewal.
    pub(super) member_wake: Notify,
    pub(super) member_dirty: AtomicBool,
    pub(super) stop: watch::Sender<bool>,
    pub(super) lease_gone: watch::Sender<bool>,
    pub(super) results_gone: watch::Sender<bool>,
    fleet: Mutex<FleetView>,
    rules: Mutex<RulesCache>,
    slots: Mutex<SlotTable>,
    lease: Mutex<Option<HeldLease>>,
    placements: Mutex<Vec<(TargetAddress, u64)>>,
}

/// The receiving ends of the queues.
pub(super) struct Jobs {
    pub(super) claims: mpsc::Receiver<ClaimJob>,
    pub(super) results: mpsc::Receiver<FinishJob>,
}

/// Locks a mutex whose data stays valid when a holder panics.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Control {
    pub(super) fn new(options: ControlOptions) -> (Arc<Self>, Jobs) {
        let settings = &options.settings;
        let store = StoreOptions {
            address: settings.store.address,
            timeout: settings.store.timeout(),
        };
        let peer_counters = Arc::new(PeerCounters::default());
        let peers = PeerClient::new(ClientOptions {
            daemon: options.daemon.clone(),
            keys: settings.decoded_keys(),
            clock: Arc::clone(&options.clock),
            counters: Arc::clone(&peer_counters),
        });
        let (claims, claim_jobs) = mpsc::channel(MAX_CLAIM_JOBS);
        let (results, finish_jobs) = mpsc::channel(MAX_FINISH_JOBS);
        let fleet = FleetView::new(own_member(&options, false));
        let control = Self {
            store: StoreAccess::new(store, options.events.clone()),
            peers,
            peer_counters,
            counters: ControlCounters::default(),
            claims: ClaimTable::new(claims),
            results,
            suspects: SuspectTable::default(),
            questions: Questions::default(),
            notices: SeenNotices::default(),
            notice_room: Arc::new(Semaphore::new(MAX_NOTICE_SENDS)),
            credit_room: Arc::new(Semaphore::new(MAX_CREDIT_ASKS)),
            leaving: AtomicBool::new(false),
            pulling: AtomicBool::new(false),
            is_watching: AtomicBool::new(false),
            member_wake: Notify::new(),
            member_dirty: AtomicBool::new(false),
            stop: watch::Sender::new(false),
            lease_gone: watch::Sender::new(false),
            results_gone: watch::Sender::new(false),
            fleet: Mutex::new(fleet),
            rules: Mutex::default(),
            slots: Mutex::default(),
            lease: Mutex::new(None),
            placements: Mutex::default(),
            options,
        };
        let jobs = Jobs {
            claims: claim_jobs,
            results: finish_jobs,
        };
        (Arc::new(control), jobs)
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

    pub(super) fn lease(&self) -> MutexGuard<'_, Option<HeldLease>> {
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

    /// This daemon as others should see it.
    pub(super) fn member(&self) -> Member {
        own_member(&self.options, self.is_leaving())
    }

    /// Has the membership record written again at once.
    pub(super) fn membership_stale(&self) {
        self.member_dirty.store(true, Ordering::SeqCst);
        self.member_wake.notify_one();
        self.members_changed();
    }

    /// Reports the members if they differ from the last report.
    pub(super) fn members_changed(&self) {
        let store_is_current = self.is_watching.load(Ordering::SeqCst);
        let changed = self
            .fleet()
            .refresh(self.member(), self.now(), store_is_current);
        if let Some(members) = changed {
            self.send(Event::MembersChanged(members));
        }
    }

    pub(super) fn counts(&self) -> ControlCounts {
        self.counters
            .snapshot(self.store.client().counts(), self.peer_counters.snapshot())
    }

    /// The addresses of all other daemons. Until the store has told the members, and while it is
    /// out of reach, these include the addresses in the settings.
    pub(super) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let own = self.options.settings.listen.peers;
        let mut addresses = if self.is_watching.load(Ordering::SeqCst) {
            self.fleet().peer_addresses()
        } else {
            let mut known = self.fleet().known_addresses();
            known.extend(&self.options.settings.peers);
            known
        };
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own);
        addresses
    }

    /// Exchanges messages with a peer and reports that it was reached.
    pub(super) async fn ask(
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
                self.fleet().reached(peer);
                self.send(Event::PeerReached {
                    daemon: outcome.peer.clone(),
                });
            }
            Err(_) => self.fleet().not_reached(peer, self.now()),
        }
        result
    }

    /// Resolves once the control tasks have to end.
    pub(super) async fn stopping(&self) {
        let mut stop = self.stop.subscribe();
        let _ = stop.wait_for(|stop| *stop).await;
    }

    /// Waits, or returns `false` at once when the control tasks have to end.
    pub(super) async fn sleep(&self, wait: Duration) -> bool {
        tokio::select! {
            () = tokio::time::sleep(wait) => true,
            () = self.stopping() => false,
        }
    }
}

fn own_member(options: &ControlOptions, leaving: bool) -> Member {
    let settings = &options.settings;
    Member {
        id: options.daemon.clone(),
        caller_address: settings.listen.callers,
        peer_address: settings.listen.peers,
        admin_address: settings.listen.admin,
        zone: settings.location.zone.clone(),
        region: settings.location.region.clone(),
        leaving,
    }
}
