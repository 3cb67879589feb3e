//! Team limits over all daemons: the token buckets of lenders and the balances of borrowers.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use mimosagap_rules::set::TeamLimit;
use mimosagap_types::prelude::*;

use crate::requests::RequestKey;

/// Number of lender slots.
pub const SLOTS: u16 = 16;

/// Credit is valid for this long, counted from before it was asked for.
pub const CREDIT_LIFETIME: Duration = Duration::from_secs(2);

/// A question for credit that is not answered by then has failed.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Demand is measured over spans of this length.
const DEMAND_SPAN: Duration = Duration::from_millis(500);

/// The lender slot of a team, equal on every daemon: FNV-1a of the name.
#[must_use]
pub fn slot_of(team: &TeamName) -> u16 {
    let hash = team
        .as_str()
        .bytes()
        .fold(0xCBF2_9CE4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
        });
    // The high half is mixed in because the low bits of FNV-1a vary little for short names.
    u16::try_from((hash ^ (hash >> 32)) % u64::from(SLOTS)).unwrap_or(0)
}

/// A question for credit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CreditAsk {
    /// The lender.
    pub holder: DaemonId,
    /// Requests wanted.
    pub wanted: u32,
}

/// What a team's limit says to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreditDecision {
    /// It may go on.
    Admitted,
    /// It waits for the lender's answer.
    Waits,
    /// The limit is used up, or the lender cannot be reached.
    Refused,
}

/// What follows from a lender's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CreditSettlement {
    /// Requests which may go on, in order.
    pub admitted: Vec<RequestKey>,
    /// Requests for which there is no credit.
    pub refused: Vec<RequestKey>,
    /// A further question for requests which came in the meantime.
    pub ask: Option<CreditAsk>,
}

#[derive(Debug, Clone, Copy)]
struct HeldSlot {
    lends_from: Instant,
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    fn refill(&mut self, limit: &TeamLimit, now: Instant) {
        let time = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + time * limit.rate).min(f64::from(limit.burst));
        self.updated = self.updated.max(now);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are between 0 and the burst, a u32"
    )]
    fn take(&mut self, wanted: u32) -> u32 {
        let granted = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(granted);
        granted
    }
}

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    asked: Instant,
    wanted: u32,
}

#[derive(Debug, Default)]
struct CreditBalance {
    credit: VecDeque<(Instant, u32)>,
    waiting: VecDeque<RequestKey>,
    outstanding: Option<Outstanding>,
    span_start: Option<Instant>,
    demand: u32,
    demand_before: u32,
    admitted: u64,
}

impl CreditBalance {
    fn expire(&mut self, now: Instant) {
        while self.credit.front().is_some_and(|(until, _)| *until <= now) {
            self.credit.pop_front();
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        self.expire(now);
        let Some((_, units)) = self.credit.front_mut() else {
            return false;
        };
        *units -= 1;
        if *units == 0 {
            self.credit.pop_front();
        }
        self.admitted += 1;
        true
    }

    fn held(&self) -> u32 {
        self.credit.iter().map(|(_, units)| units).sum()
    }

    fn count_demand(&mut self, now: Instant) {
        let start = *self.span_start.get_or_insert(now);
        let age = now.saturating_duration_since(start);
        if age >= DEMAND_SPAN {
            self.demand_before = if age < 2 * DEMAND_SPAN {
                self.demand
            } else {
                0
            };
            self.demand = 0;
            self.span_start = Some(now);
        }
        self.demand += 1;
    }

    /// The credit which the team's requests of the next half span need.
    fn reserve(&self) -> u32 {
        self.demand_before.max(self.demand) / 2
    }

    fn ask(&mut self, holder: &DaemonId, limit: &TeamLimit, now: Instant) -> Option<CreditAsk> {
        if self.outstanding.is_some() {
            return None;
        }
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let wanted = waiting
            .saturating_add(self.reserve())
            .clamp(1, limit.burst.max(1));
        self.outstanding = Some(Outstanding { asked: now, wanted });
        Some(CreditAsk {
            holder: holder.clone(),
            wanted,
        })
    }
}

/// How a team's limit stands at this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitUsage {
    /// The lender slot.
    pub slot: u16,
    /// The daemon which holds it.
    pub holder: Option<DaemonId>,
    /// Whether this daemon lends now.
    pub is_lender: bool,
    /// Tokens in the bucket, if this daemon lends.
    pub bucket_tokens: Option<f64>,
    /// Credit held as a borrower.
    pub credit: u32,
    /// Requests which wait for credit.
    pub waiting: usize,
    /// Requests admitted under the limit since the start.
    pub admitted: u64,
}

/// Lender and borrower state of a daemon.
#[derive(Debug, Default)]
pub struct Lending {
    holders: Vec<Option<DaemonId>>,
    held: [Option<HeldSlot>; SLOTS as usize],
    buckets: BTreeMap<TeamName, Bucket>,
    balances: BTreeMap<TeamName, CreditBalance>,
}

impl Lending {
    /// Takes over which daemon holds which slot.
    pub fn set_holders(&mut self, holders: Vec<Option<DaemonId>>) {
        self.holders = holders;
    }

    /// Takes over which slots this daemon holds. A slot that it did not hold until now lends
    /// nothing for as long as its last holder's credit may be valid, and starts empty.
    pub fn hold(&mut self, slots: &[u16], until: Instant, now: Instant) {
        for slot in 0..SLOTS {
            let index = usize::from(slot);
            if !slots.contains(&slot) {
                self.held[index] = None;
                continue;
            }
            match &mut self.held[index] {
                Some(held) if held.until > now => held.until = held.until.max(until),
                held => {
                    *held = Some(HeldSlot {
                        lends_from: now + CREDIT_LIFETIME,
                        until,
                    });
                    self.buckets.retain(|team, _| slot_of(team) != slot);
                }
            }
        }
    }

    fn lends_from(&self, team: &TeamName, now: Instant) -> Option<Instant> {
        let held = self.held[usize::from(slot_of(team))]?;
        (held.until > now).then_some(held.lends_from)
    }

    /// Takes credit out of the team's bucket. Grants nothing if this daemon is not the lender.
    pub fn lend(&mut self, team: &TeamName, limit: &TeamLimit, wanted: u32, now: Instant) -> u32 {
        let Some(lends_from) = self.lends_from(team, now) else {
            return 0;
        };
        if now < lends_from {
            return 0;
        }
        if !self.buckets.contains_key(team) {
            let bucket = Bucket {
                tokens: 0.0,
                updated: lends_from,
            };
            self.buckets.insert(team.clone(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(team) else {
            return 0;
        };
        bucket.refill(limit, now);
        bucket.take(wanted)
    }

    /// Asks for one request's credit.
    pub fn admit(
        &mut self,
        team: &TeamName,
        limit: &TeamLimit,
        key: RequestKey,
        me: &DaemonId,
        now: Instant,
    ) -> (CreditDecision, Option<CreditAsk>) {
        if self.lends_from(team, now).is_some() {
            let granted = self.lend(team, limit, 1, now);
            let balance = self.balances.entry(team.clone()).or_default();
            if granted == 0 {
                return (CreditDecision::Refused, None);
            }
            balance.admitted += 1;
            return (CreditDecision::Admitted, None);
        }
        let holder = self.holder(team).filter(|holder| holder != me);
        let balance = self.balances.entry(team.clone()).or_default();
        balance.count_demand(now);
        if balance.waiting.is_empty() && balance.take(now) {
            let is_low = balance.held() < balance.reserve() / 2;
            let ask = holder
                .filter(|_| is_low)
                .and_then(|holder| balance.ask(&holder, limit, now));
            return (CreditDecision::Admitted, ask);
        }
        let Some(holder) = holder else {
            return (CreditDecision::Refused, None);
        };
        let most = usize::try_from(limit.burst.max(1)).unwrap_or(usize::MAX);
        if balance.waiting.len() >= most {
            return (CreditDecision::Refused, None);
        }
        balance.waiting.push_back(key);
        let ask = balance.ask(&holder, limit, now);
        (CreditDecision::Waits, ask)
    }

    /// The holder of a team's slot.
    #[must_use]
    pub fn holder(&self, team: &TeamName) -> Option<DaemonId> {
        let slot = usize::from(slot_of(team));
        self.holders.get(slot).cloned().flatten()
    }

    /// Takes over a lender's answer. An answer to a question which is no longer open is dropped,
    /// so that a repeated answer cannot give credit twice.
    pub fn receive(
        &mut self,
        team: &TeamName,
        limit: Option<&TeamLimit>,
        granted: u32,
        requested_at: Instant,
        now: Instant,
    ) -> CreditSettlement {
        let holder = self.holder(team);
        let mut settlement = CreditSettlement::default();
        let Some(balance) = self.balances.get_mut(team) else {
            return settlement;
        };
        let Some(outstanding) = balance
            .outstanding
            .filter(|open| open.asked <= requested_at)
        else {
            return settlement;
        };
        balance.outstanding = None;
        let until = requested_at + CREDIT_LIFETIME;
        let units = granted.min(outstanding.wanted);
        if units > 0 && until > now {
            balance.credit.push_back((until, units));
        }
        while !balance.waiting.is_empty() && balance.take(now) {
            settlement.admitted.extend(balance.waiting.pop_front());
        }
        if balance.waiting.is_empty() {
            return settlement;
        }
        match (holder, limit) {
            (Some(holder), Some(limit)) if granted >= outstanding.wanted => {
                settlement.ask = balance.ask(&holder, limit, now);
            }
            _ => settlement.refused.extend(balance.waiting.drain(..)),
        }
        settlement
    }

    /// Gives up the open question of a team and returns the requests which waited for it.
    pub fn fail(&mut self, team: &TeamName) -> Vec<RequestKey> {
        let Some(balance) = self.balances.get_mut(team) else {
            return Vec::new();
        };
        balance.outstanding = None;
        balance.waiting.drain(..).collect()
    }

    /// Removes a request which no longer waits.
    pub fn forget(&mut self, team: &TeamName, key: RequestKey) {
        if let Some(balance) = self.balances.get_mut(team) {
            balance.waiting.retain(|waiting| *waiting != key);
        }
    }

    /// Teams whose question was not answered in time.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Vec<TeamName> {
        self.balances
            .iter()
            .filter(|(_, balance)| {
                balance
                    .outstanding
                    .is_some_and(|open| now.saturating_duration_since(open.asked) >= ASK_TIMEOUT)
            })
            .map(|(team, _)| team.clone())
            .collect()
    }

    /// How a team's limit stands.
    #[must_use]
    pub fn usage(&self, team: &TeamName, limit: &TeamLimit, now: Instant) -> LimitUsage {
        let lends_from = self.lends_from(team, now);
        let bucket_tokens = lends_from.filter(|from| now >= *from).map(|from| {
            let mut bucket = self.buckets.get(team).copied().unwrap_or(Bucket {
                tokens: 0.0,
                updated: from,
            });
            bucket.refill(limit, now);
            bucket.tokens
        });
        let balance = self.balances.get(team);
        let live = |(until, units): &(Instant, u32)| if *until > now { *units } else { 0 };
        LimitUsage {
            slot: slot_of(team),
            holder: self.holder(team),
            is_lender: bucket_tokens.is_some(),
            bucket_tokens,
            credit: balance.map_or(0, |balance| balance.credit.iter().map(live).sum()),
            waiting: balance.map_or(0, |balance| balance.waiting.len()),
            admitted: balance.map_or(0, |balance| balance.admitted),
        }
    }
}
