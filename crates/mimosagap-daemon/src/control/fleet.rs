//! The members of the fleet: from the store's records and, while the store is unreachable, from the
//! digests of peers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosagap_core::Member;
use mimosagap_types::prelude::*;

/// During an outage of the store, a member that this daemon cannot reach for this long counts as
/// gone. As long as the TTL of a membership lease.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A member known only from its digests is kept for this long. With 3 digests per second among 320
/// daemons, a daemon receives a digest of any other one about every 100 s.
const GOSSIP_TTL: Duration = Duration::from_mins(5);

#[derive(Debug)]
struct GossipedMember {
    member: Member,
    received_at: Instant,
}

/// Known members by source, and the list that was reported last.
#[derive(Debug)]
pub(super) struct FleetView {
    stored: BTreeMap<DaemonId, Member>,
    gossiped: HashMap<DaemonId, GossipedMember>,
    leaving: HashSet<DaemonId>,
    unreachable_since: HashMap<SocketAddr, Instant>,
    reported: Vec<Member>,
    own: Member,
}

impl FleetView {
    pub(super) fn new(own: Member) -> Self {
        Self {
            stored: BTreeMap::new(),
            gossiped: HashMap::new(),
            leaving: HashSet::new(),
            unreachable_since: HashMap::new(),
            reported: vec![own.clone()],
            own,
        }
    }

    /// Returns the members as last reported.
    pub(super) fn members(&self) -> Vec<Member> {
        self.reported.clone()
    }

    /// Number of members as last reported, this daemon included.
    pub(super) fn member_count(&self) -> usize {
        self.reported.len()
    }

    /// Returns the peer address of a member, or `None` if the daemon is not one.
    pub(super) fn peer_address(&self, id: &DaemonId) -> Option<SocketAddr> {
        let member = self.reported.iter().find(|member| member.id == *id)?;
        Some(member.peer_address)
    }

    pub(super) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let members = self.reported.iter();
        members.map(|member| member.peer_address).collect()
    }

    /// Returns the peer addresses of all known daemons, including those that count as gone: they
    /// have to be tried again so that a healed partition is noticed.
    pub(super) fn known_addresses(&self) -> Vec<SocketAddr> {
        let stored = self.stored.values();
        let gossiped = self.gossiped.values().map(|gossip| &gossip.member);
        stored
            .chain(gossiped)
            .map(|member| member.peer_address)
            .collect()
    }

    /// Returns the daemons that share the lender slots, ordered by id. Leaving ones hold no slots.
    pub(super) fn slot_candidates(&self) -> Vec<DaemonId> {
        let active = self.reported.iter().filter(|member| !member.leaving);
        active.map(|member| member.id.clone()).collect()
    }

    pub(super) fn replace_stored(&mut self, members: impl Iterator<Item = Member>) {
        self.stored = members.map(|member| (member.id.clone(), member)).collect();
        let stored = &self.stored;
        self.gossiped.retain(|id, _| stored.contains_key(id));
    }

    pub(super) fn insert_stored(&mut self, member: Member) {
        self.stored.insert(member.id.clone(), member);
    }

    pub(super) fn remove(&mut self, id: &DaemonId) {
        self.stored.remove(id);
        self.gossiped.remove(id);
    }

    pub(super) fn is_stored(&self, id: &DaemonId) -> bool {
        self.stored.contains_key(id)
    }

    /// Records a member from its own digest. A daemon that listens on the address of another one
    /// has replaced it.
    pub(super) fn record_gossip(&mut self, member: Member, now: Instant) {
        self.unreachable_since.remove(&member.peer_address);
        self.gossiped.retain(|id, gossip| {
            *id == member.id || gossip.member.peer_address != member.peer_address
        });
        let id = member.id.clone();
        self.gossiped.insert(
            id,
            GossipedMember {
                member,
                received_at: now,
            },
        );
    }

    pub(super) fn mark_leaving(&mut self, id: &DaemonId) {
        self.leaving.insert(id.clone());
    }

    pub(super) fn mark_reachable(&mut self, address: SocketAddr) {
        self.unreachable_since.remove(&address);
    }

    pub(super) fn mark_unreachable(&mut self, address: SocketAddr, now: Instant) {
        self.unreachable_since.entry(address).or_insert(now);
    }

    /// Recomputes the members and returns them if they differ from the last report. Digests count
    /// only while `is_store_current` is false.
    pub(super) fn refresh(
        &mut self,
        own: Member,
        now: Instant,
        is_store_current: bool,
    ) -> Option<Vec<Member>> {
        self.own = own;
        self.gossiped
            .retain(|_, gossip| now < gossip.received_at + GOSSIP_TTL);
        let mut members = self.stored.clone();
        if !is_store_current {
            self.merge_gossiped(&mut members, now);
        }
        members.insert(self.own.id.clone(), self.own.clone());
        let is_member = |id: &DaemonId| members.contains_key(id);
        self.leaving.retain(is_member);
        let known_addresses: HashSet<SocketAddr> = self.known_addresses().into_iter().collect();
        self.unreachable_since
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

    fn merge_gossiped(&self, members: &mut BTreeMap<DaemonId, Member>, now: Instant) {
        for (id, gossip) in &self.gossiped {
            members.retain(|other, member| {
                other == id || member.peer_address != gossip.member.peer_address
            });
            members.insert(id.clone(), gossip.member.clone());
        }
        members.retain(|_, member| {
            let unreachable_since = self.unreachable_since.get(&member.peer_address);
            unreachable_since.is_none_or(|since| now < *since + UNREACHABLE_TIMEOUT)
        });
    }
}
