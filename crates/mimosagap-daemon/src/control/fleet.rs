//! Who belongs to the fleet, from the store's records and, while it is out of reach, from peers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosagap_core::Member;
use mimosagap_types::prelude::*;

/// A member that nobody reaches for as long as a lease lives counts as gone during an outage.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// A member known only from its digests is kept for this long: with 3 digests a second among 320
/// daemons, one daemon hears from another about every 100 s.
const HEARD_FOR: Duration = Duration::from_mins(5);

#[derive(Debug)]
struct Heard {
    member: Member,
    at: Instant,
}

/// The members and where they were heard of.
#[derive(Debug)]
pub(super) struct FleetView {
    stored: BTreeMap<DaemonId, Member>,
    heard: HashMap<DaemonId, Heard>,
    leaving: HashSet<DaemonId>,
    unreachable: HashMap<SocketAddr, Instant>,
    reported: Vec<Member>,
    own: Member,
}

impl FleetView {
    pub(super) fn new(own: Member) -> Self {
        Self {
            stored: BTreeMap::new(),
            heard: HashMap::new(),
            leaving: HashSet::new(),
            unreachable: HashMap::new(),
            reported: vec![own.clone()],
            own,
        }
    }

    /// The members reported last.
    pub(super) fn members(&self) -> Vec<Member> {
        self.reported.clone()
    }

    /// How many members there are.
    pub(super) fn len(&self) -> usize {
        self.reported.len()
    }

    /// The address of a member.
    pub(super) fn peer_address(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let member = self.reported.iter().find(|member| member.id == *daemon)?;
        Some(member.peer_address)
    }

    pub(super) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let members = self.reported.iter();
        members.map(|member| member.peer_address).collect()
    }

    /// The addresses of all daemons heard of, including those that count as gone: somebody has to
    /// try them once a partition heals.
    pub(super) fn known_addresses(&self) -> Vec<SocketAddr> {
        let stored = self.stored.values();
        let heard = self.heard.values().map(|heard| &heard.member);
        stored
            .chain(heard)
            .map(|member| member.peer_address)
            .collect()
    }

    /// The daemons that share the lender slots, in the order of their names.
    pub(super) fn lenders(&self) -> Vec<DaemonId> {
        let staying = self.reported.iter().filter(|member| !member.leaving);
        staying.map(|member| member.id.clone()).collect()
    }

    pub(super) fn store_all(&mut self, members: impl Iterator<Item = Member>) {
        self.stored = members.map(|member| (member.id.clone(), member)).collect();
        let stored = &self.stored;
        self.heard.retain(|id, _| stored.contains_key(id));
    }

    pub(super) fn store(&mut self, member: Member) {
        self.stored.insert(member.id.clone(), member);
    }

    pub(super) fn remove(&mut self, daemon: &DaemonId) {
        self.stored.remove(daemon);
        self.heard.remove(daemon);
    }

    pub(super) fn is_stored(&self, daemon: &DaemonId) -> bool {
        self.stored.contains_key(daemon)
    }

    /// Takes over a member from its own digest. A daemon that listens at the address of another
    /// one has replaced it.
    pub(super) fn hear(&mut self, member: Member, now: Instant) {
        self.unreachable.remove(&member.peer_address);
        self.heard.retain(|id, heard| {
            *id == member.id || heard.member.peer_address != member.peer_address
        });
        let id = member.id.clone();
        self.heard.insert(id, Heard { member, at: now });
    }

    pub(super) fn hear_leaving(&mut self, daemon: &DaemonId) {
        self.leaving.insert(daemon.clone());
    }

    pub(super) fn reached(&mut self, address: SocketAddr) {
        self.unreachable.remove(&address);
    }

    pub(super) fn not_reached(&mut self, address: SocketAddr, now: Instant) {
        self.unreachable.entry(address).or_insert(now);
    }

    /// Brings the members up to date and returns them if they changed.
    pub(super) fn refresh(
        &mut self,
        own: Member,
        now: Instant,
        store_is_current: bool,
    ) -> Option<Vec<Member>> {
        self.own = own;
        self.heard.retain(|_, heard| now < heard.at + HEARD_FOR);
        let mut members = self.stored.clone();
        if !store_is_current {
            self.add_heard(&mut members, now);
        }
        members.insert(self.own.id.clone(), self.own.clone());
        let known = |daemon: &DaemonId| members.contains_key(daemon);
        self.leaving.retain(known);
        let known_addresses: HashSet<SocketAddr> = self.known_addresses().into_iter().collect();
        self.unreachable
            .retain(|address, _| known_addresses.contains(address));
        let mut members: Vec<Member> = members.into_values().collect();
        for member in &mut members {
            member.leaving |= self.leaving.contains(&member.id);
        }
        if members == self.reported {
            return None;
        }
        self.reported.clone_from(&members);
        Some(members)
    }

    fn add_heard(&self, members: &mut BTreeMap<DaemonId, Member>, now: Instant) {
        for (id, heard) in &self.heard {
            members.retain(|other, member| {
                other == id || member.peer_address != heard.member.peer_address
            });
            members.insert(id.clone(), heard.member.clone());
        }
        members.retain(|_, member| {
            let since = self.unreachable.get(&member.peer_address);
            since.is_none_or(|since| now < *since + GONE_AFTER)
        });
    }
}
