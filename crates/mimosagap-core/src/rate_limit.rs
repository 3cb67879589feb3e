//! Rate limits of teams, enforced across all daemons.
//!
//! Each team maps to one of 16 lender slots. The daemon that holds the slot keeps the team's token
//! bucket; the others borrow credit from it in advance, which is valid for 2 s. A request therefore
//! rarely waits for another daemon, and the sum of all admissions stays within the limit plus the
//! credit in circulation.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use mimosagap_rules::set::TeamLimit;
use mimosagap_types::prelude::*;

use crate::requests::RequestKey;

/// Number of lender slots, over which the teams are spread.
pub const LENDER_SLOTS: u16 = 16;

/// Lifetime of credit, counted from before the request for it was sent.
pub const CREDIT_TTL: Duration = Duration::from_secs(2);

/// Time after which a credit request without an answer has failed.
const CREDIT_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of the windows over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Lender slot of a team: FNV-1a of its name, so that all daemons compute the same.
#[must_use]
pub fn lender_slot(team: &TeamName) -> u16 {
    let hash = team
        .as_str()
        .bytes()
        .fold(0xCBF2_9CE4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
        });
    // The high half is mixed in because the low bits of FNV-1a vary little for short names.
    u16::try_from((hash ^ (hash >> 32)) % u64::from(LENDER_SLOTS)).unwrap_or(0)
}

/// A credit request to send to a lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CreditRequest {
    /// Daemon that holds the team's lender slot.
    pub holder: DaemonId,
    /// Credit wanted, in requests.
    pub wanted: u32,
}

/// Decision of a team's rate limit about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is within the limit.
    Admitted,
    /// The request waits for the lender's answer.
    Waiting,
    /// The limit is exhausted, or no lender can be reached.
    Refused,
}

/// Consequences of a lender's answer for the waiting requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GrantOutcome {
    /// Requests within the limit, in order of arrival.
    pub admitted: Vec<RequestKey>,
    /// Requests that exceed the limit.
    pub refused: Vec<RequestKey>,
    /// Further credit request, for requests that arrived in the meantime.
    pub request: Option<CreditRequest>,
}

#[derive(Debug, Clone, Copy)]
struct SlotLease {
    /// When all credit of the previous holder has expired.
    grants_from: Instant,
    /// End of the lease by the local clock.
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    fn refill(&mut self, limit: &TeamLimit, now: Instant) {
        let elapsed_seconds = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_seconds * limit.rate).min(f64::from(limit.burst));
        self.updated_at = self.updated_at.max(now);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are between 0 and the burst, a u32"
    )]
    fn take_up_to(&mut self, wanted: u32) -> u32 {
        let granted = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(granted);
        granted
    }
}

#[derive(Debug, Clone, Copy)]
struct OpenCreditRequest {
    sent_at: Instant,
    wanted: u32,
}

#[derive(Debug, Default)]
struct CreditBalance {
    /// Expiry and unused part, in requests, of each grant, in order of expiry.
    credit: VecDeque<(Instant, u32)>,
    waiting: VecDeque<RequestKey>,
    open_request: Option<OpenCreditRequest>,
    window_start: Option<Instant>,
    demand: u32,
    previous_demand: u32,
    admitted: u64,
}

impl CreditBalance {
    fn expire(&mut self, now: Instant) {
        while self.credit.front().is_some_and(|(until, _)| *until <= now) {
            self.credit.pop_front();
        }
    }

    fn try_spend(&mut self, now: Instant) -> bool {
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

    fn available(&self) -> u32 {
        self.credit.iter().map(|(_, units)| units).sum()
    }

    fn count_demand(&mut self, now: Instant) {
        let window_start = *self.window_start.get_or_insert(now);
        let age = now.saturating_duration_since(window_start);
        if age >= DEMAND_WINDOW {
            self.previous_demand = if age < 2 * DEMAND_WINDOW {
                self.demand
            } else {
                0
            };
            self.demand = 0;
            self.window_start = Some(now);
        }
        self.demand += 1;
    }

    /// Credit that the team's requests of the next half window are expected to need.
    fn expected_demand(&self) -> u32 {
        self.previous_demand.max(self.demand) / 2
    }

    fn request_credit(
        &mut self,
        holder: &DaemonId,
        limit: &TeamLimit,
        now: Instant,
    ) -> Option<CreditRequest> {
        if self.open_request.is_some() {
            return None;
        }
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let wanted = waiting
            .saturating_add(self.expected_demand())
            .clamp(1, limit.burst.max(1));
        self.open_request = Some(OpenCreditRequest {
            sent_at: now,
            wanted,
        });
        Some(CreditRequest {
            holder: holder.clone(),
            wanted,
        })
    }
}

/// Use of a team's rate limit at this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitUsage {
    /// Lender slot of the team.
    pub slot: u16,
    /// Daemon that holds the slot; `None` if it is free.
    pub holder: Option<DaemonId>,
    /// Whether this daemon holds the slot and grants credit now.
    pub is_lender: bool,
    /// Tokens in the team's bucket; `None` unless this daemon is the lender.
    pub bucket_tokens: Option<f64>,
    /// Credit borrowed and not yet used, in requests.
    pub credit: u32,
    /// Requests that wait for credit.
    pub waiting: usize,
    /// Requests admitted under the limit since the daemon started.
    pub admitted: u64,
}

/// State of all rate limits at one daemon, as lender and as borrower.
#[derive(Debug, Default)]
pub struct RateLimiter {
    holders: Vec<Option<DaemonId>>,
    slot_leases: [Option<SlotLease>; LENDER_SLOTS as usize],
    buckets: BTreeMap<TeamName, TokenBucket>,
    balances: BTreeMap<TeamName, CreditBalance>,
}

impl RateLimiter {
    /// Sets the holder of each lender slot, by slot number.
    pub fn set_holders(&mut self, holders: Vec<Option<DaemonId>>) {
        self.holders = holders;
    }

    /// Sets the slots that this daemon holds. For a newly acquired slot it grants nothing until all
    /// credit of the previous holder has expired, and the buckets start empty.
    pub fn hold_slots(&mut self, slots: &[u16], until: Instant, now: Instant) {
        for slot in 0..LENDER_SLOTS {
            let index = usize::from(slot);
            if !slots.contains(&slot) {
                self.slot_leases[index] = None;
                continue;
            }
            match &mut self.slot_leases[index] {
                Some(lease) if lease.until > now => lease.until = lease.until.max(until),
                lease => {
                    *lease = Some(SlotLease {
                        grants_from: now + CREDIT_TTL,
                        until,
                    });
                    self.buckets.retain(|team, _| lender_slot(team) != slot);
                }
            }
        }
    }

    fn grants_from(&self, team: &TeamName, now: Instant) -> Option<Instant> {
        let lease = self.slot_leases[usize::from(lender_slot(team))]?;
        (lease.until > now).then_some(lease.grants_from)
    }

    /// Takes credit from the team's bucket. Returns 0 if this daemon is not the lender.
    pub fn grant(&mut self, team: &TeamName, limit: &TeamLimit, wanted: u32, now: Instant) -> u32 {
        let Some(grants_from) = self.grants_from(team, now) else {
            return 0;
        };
        if now < grants_from {
            return 0;
        }
        if !self.buckets.contains_key(team) {
            let bucket = TokenBucket {
                tokens: 0.0,
                updated_at: grants_from,
            };
            self.buckets.insert(team.clone(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(team) else {
            return 0;
        };
        bucket.refill(limit, now);
        bucket.take_up_to(wanted)
    }

    /// Decides whether a request is within its team's limit, and requests credit when it runs low.
    pub fn admit(
        &mut self,
        team: &TeamName,
        limit: &TeamLimit,
        key: RequestKey,
        own_id: &DaemonId,
        now: Instant,
    ) -> (LimitDecision, Option<CreditRequest>) {
        if self.grants_from(team, now).is_some() {
            let granted = self.grant(team, limit, 1, now);
            let balance = self.balances.entry(team.clone()).or_default();
            if granted == 0 {
                return (LimitDecision::Refused, None);
            }
            balance.admitted += 1;
            return (LimitDecision::Admitted, None);
        }
        let holder = self.holder(team).filter(|holder| holder != own_id);
        let balance = self.balances.entry(team.clone()).or_default();
        balance.count_demand(now);
        if balance.waiting.is_empty() && balance.try_spend(now) {
            let is_low = balance.available() < balance.expected_demand() / 2;
            let request = holder
                .filter(|_| is_low)
                .and_then(|holder| balance.request_credit(&holder, limit, now));
            return (LimitDecision::Admitted, request);
        }
        let Some(holder) = holder else {
            return (LimitDecision::Refused, None);
        };
        let max_waiting = usize::try_from(limit.burst.max(1)).unwrap_or(usize::MAX);
        if balance.waiting.len() >= max_waiting {
            return (LimitDecision::Refused, None);
        }
        balance.waiting.push_back(key);
        let request = balance.request_credit(&holder, limit, now);
        (LimitDecision::Waiting, request)
    }

    /// Daemon that holds the team's lender slot; `None` if it is free.
    #[must_use]
    pub fn holder(&self, team: &TeamName) -> Option<DaemonId> {
        let slot = usize::from(lender_slot(team));
        self.holders.get(slot).cloned().flatten()
    }

    /// Handles a lender's answer. An answer without an open request is dropped, so that a repeated
    /// answer does not grant credit twice.
    pub fn handle_grant(
        &mut self,
        team: &TeamName,
        limit: Option<&TeamLimit>,
        granted: u32,
        requested_at: Instant,
        now: Instant,
    ) -> GrantOutcome {
        let holder = self.holder(team);
        let mut outcome = GrantOutcome::default();
        let Some(balance) = self.balances.get_mut(team) else {
            return outcome;
        };
        let Some(open_request) = balance
            .open_request
            .filter(|open| open.sent_at <= requested_at)
        else {
            return outcome;
        };
        balance.open_request = None;
        let until = requested_at + CREDIT_TTL;
        let units = granted.min(open_request.wanted);
        if units > 0 && until > now {
            balance.credit.push_back((until, units));
        }
        while !balance.waiting.is_empty() && balance.try_spend(now) {
            outcome.admitted.extend(balance.waiting.pop_front());
        }
        if balance.waiting.is_empty() {
            return outcome;
        }
        match (holder, limit) {
            (Some(holder), Some(limit)) if granted >= open_request.wanted => {
                outcome.request = balance.request_credit(&holder, limit, now);
            }
            _ => outcome.refused.extend(balance.waiting.drain(..)),
        }
        outcome
    }

    /// Closes the open credit request of a team without credit, and returns the requests that
    /// waited for it.
    pub fn fail_open_request(&mut self, team: &TeamName) -> Vec<RequestKey> {
        let Some(balance) = self.balances.get_mut(team) else {
            return Vec::new();
        };
        balance.open_request = None;
        balance.waiting.drain(..).collect()
    }

    /// Removes a request from those that wait for credit.
    pub fn remove_waiting(&mut self, team: &TeamName, key: RequestKey) {
        if let Some(balance) = self.balances.get_mut(team) {
            balance.waiting.retain(|waiting| *waiting != key);
        }
    }

    /// Teams whose credit request was not answered within `CREDIT_REQUEST_TIMEOUT`.
    #[must_use]
    pub fn timed_out_teams(&self, now: Instant) -> Vec<TeamName> {
        self.balances
            .iter()
            .filter(|(_, balance)| {
                balance.open_request.is_some_and(|open| {
                    now.saturating_duration_since(open.sent_at) >= CREDIT_REQUEST_TIMEOUT
                })
            })
            .map(|(team, _)| team.clone())
            .collect()
    }

    /// Use of a team's rate limit at this daemon.
    #[must_use]
    pub fn usage(&self, team: &TeamName, limit: &TeamLimit, now: Instant) -> LimitUsage {
        let grants_from = self.grants_from(team, now);
        let bucket_tokens = grants_from.filter(|from| now >= *from).map(|from| {
            let mut bucket = self.buckets.get(team).copied().unwrap_or(TokenBucket {
                tokens: 0.0,
                updated_at: from,
            });
            bucket.refill(limit, now);
            bucket.tokens
        });
        let balance = self.balances.get(team);
        let valid_units = |(until, units): &(Instant, u32)| if *until > now { *units } else { 0 };
        LimitUsage {
            slot: lender_slot(team),
            holder: self.holder(team),
            is_lender: bucket_tokens.is_some(),
            bucket_tokens,
            credit: balance.map_or(0, |balance| balance.credit.iter().map(valid_units).sum()),
            waiting: balance.map_or(0, |balance| balance.waiting.len()),
            admitted: balance.map_or(0, |balance| balance.admitted),
        }
    }
}
