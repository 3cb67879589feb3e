//! The admission queue of a target group. Requests wait here, not in the engines, until one has
//! room: higher priorities first, and within a priority by weighted fair queueing between teams.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use mimosagap_rules::statement::Priority;
use mimosagap_types::prelude::*;

use crate::requests::RequestKey;

/// While lower priorities wait, one in this many admissions goes to the longest-waiting request
/// below the highest waiting priority, so that none starves.
pub const LOWER_PRIORITY_INTERVAL: u32 = 10;

/// Such a request may fit on no engine. For this long, smaller requests of the highest priority may
/// bypass it; after that it blocks them until it fits.
pub const MAX_BYPASS_TIME: Duration = Duration::from_secs(3);

/// Units of virtual time for each token of cost at weight 1; sets the resolution of fair queueing.
const VIRTUAL_UNITS_PER_TOKEN: f64 = 1_000.0;

#[derive(Debug, Clone, Copy)]
struct QueueEntry {
    key: RequestKey,
    cost: f64,
    since: Instant,
}

/// Waiting requests of one team at one priority, in order of arrival.
#[derive(Debug, Default)]
struct TeamQueue {
    entries: VecDeque<QueueEntry>,
    weight: f64,
    /// Start tag of the team's next request, in virtual time.
    start_tag: u64,
}

/// One priority level: start-time fair queueing between teams.
#[derive(Debug, Default)]
struct PriorityLevel {
    team_queues: HashMap<TeamName, TeamQueue>,
    teams_by_start: BTreeSet<(u64, TeamName)>,
    virtual_time: u64,
}

impl PriorityLevel {
    fn push(&mut self, team: &TeamName, weight: f64, entry: QueueEntry) {
        if !self.team_queues.contains_key(team) {
            self.team_queues.insert(team.clone(), TeamQueue::default());
        }
        let Some(team_queue) = self.team_queues.get_mut(team) else {
            return;
        };
        team_queue.weight = weight;
        if team_queue.entries.is_empty() {
            // An idle team does not accumulate its share.
            team_queue.start_tag = team_queue.start_tag.max(self.virtual_time);
            self.teams_by_start
                .insert((team_queue.start_tag, team.clone()));
        }
        team_queue.entries.push_back(entry);
    }

    fn head(&self) -> Option<QueueEntry> {
        let (_, team) = self.teams_by_start.first()?;
        self.team_queues.get(team)?.entries.front().copied()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "costs and weights are positive and bounded"
    )]
    fn pop(&mut self) -> Option<RequestKey> {
        let (start_tag, team) = self.teams_by_start.pop_first()?;
        self.virtual_time = start_tag;
        let team_queue = self.team_queues.get_mut(&team)?;
        let entry = team_queue.entries.pop_front()?;
        let virtual_cost =
            (entry.cost * VIRTUAL_UNITS_PER_TOKEN / team_queue.weight.max(1e-6)).max(1.0);
        team_queue.start_tag = start_tag.saturating_add(virtual_cost as u64);
        if !team_queue.entries.is_empty() {
            self.teams_by_start.insert((team_queue.start_tag, team));
        }
        Some(entry.key)
    }

    fn remove(&mut self, team: &TeamName, key: RequestKey) -> bool {
        let Some(team_queue) = self.team_queues.get_mut(team) else {
            return false;
        };
        let Some(position) = team_queue.entries.iter().position(|entry| entry.key == key) else {
            return false;
        };
        team_queue.entries.remove(position);
        if team_queue.entries.is_empty() {
            self.teams_by_start
                .remove(&(team_queue.start_tag, team.clone()));
        }
        true
    }

    fn len(&self) -> usize {
        self.teams_by_start
            .iter()
            .filter_map(|(_, team)| self.team_queues.get(team))
            .map(|team_queue| team_queue.entries.len())
            .sum()
    }
}

/// Identifies a priority level within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLevel(usize);

/// Waiting requests of one target group.
#[derive(Debug, Default)]
pub struct GroupQueue {
    levels: [PriorityLevel; 3],
    admissions_since_lower: u32,
    /// Since when the next request, one below the highest waiting priority, has not fitted.
    blocked_since: Option<Instant>,
    length: usize,
}

impl GroupQueue {
    /// Adds a request. `cost` is its expected work in tokens, `weight` the team's share.
    pub fn push(
        &mut self,
        key: RequestKey,
        priority: Priority,
        team: &TeamName,
        weight: f64,
        cost: f64,
        since: Instant,
    ) {
        let entry = QueueEntry { key, cost, since };
        self.levels[priority.index()].push(team, weight, entry);
        self.length += 1;
    }

    fn next_level(&self) -> Option<usize> {
        let mut waiting =
            (0..self.levels.len()).filter(|index| !self.levels[*index].teams_by_start.is_empty());
        let highest = waiting.next()?;
        if self.admissions_since_lower + 1 < LOWER_PRIORITY_INTERVAL {
            return Some(highest);
        }
        waiting
            .min_by_key(|index| self.levels[*index].head().map(|entry| entry.since))
            .or(Some(highest))
    }

    /// The next request and its level.
    #[must_use]
    pub fn head(&self) -> Option<(QueueLevel, RequestKey)> {
        self.level_head(self.next_level()?)
    }

    /// The request that may bypass the next one while that does not fit: the head of the highest
    /// waiting priority. `None` if the next one has that priority, or after [`MAX_BYPASS_TIME`].
    pub fn bypass(&mut self, now: Instant) -> Option<(QueueLevel, RequestKey)> {
        let highest = self
            .levels
            .iter()
            .position(|level| !level.teams_by_start.is_empty())?;
        if self.next_level() == Some(highest) {
            return None;
        }
        let since = *self.blocked_since.get_or_insert(now);
        let may_bypass = now.saturating_duration_since(since) < MAX_BYPASS_TIME;
        may_bypass.then(|| self.level_head(highest)).flatten()
    }

    fn level_head(&self, level: usize) -> Option<(QueueLevel, RequestKey)> {
        let entry = self.levels[level].head()?;
        Some((QueueLevel(level), entry.key))
    }

    /// Removes the head of a level and updates the turn of the lower priorities.
    pub fn pop(&mut self, level: QueueLevel) -> Option<RequestKey> {
        let QueueLevel(level) = level;
        let is_next = self.next_level() == Some(level);
        let (higher, at_or_below) = self.levels.split_at(level);
        let is_waiting = |level: &PriorityLevel| !level.teams_by_start.is_empty();
        if is_next {
            let higher_waits = higher.iter().any(is_waiting);
            let lower_waits = at_or_below[1..].iter().any(is_waiting);
            self.admissions_since_lower = if higher_waits || !lower_waits {
                0
            } else {
                self.admissions_since_lower + 1
            };
            self.blocked_since = None;
        }
        let key = self.levels[level].pop()?;
        self.length -= 1;
        Some(key)
    }

    /// Removes a request. Returns false if it does not wait at this priority and team.
    pub fn remove(&mut self, key: RequestKey, priority: Priority, team: &TeamName) -> bool {
        let was_queued = self.levels[priority.index()].remove(team, key);
        if was_queued {
            self.length -= 1;
        }
        was_queued
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of waiting requests at a priority.
    #[must_use]
    pub fn len_at(&self, priority: Priority) -> usize {
        self.levels[priority.index()].len()
    }

    /// Keys of all waiting requests.
    #[must_use]
    pub fn keys(&self) -> Vec<RequestKey> {
        self.levels
            .iter()
            .flat_map(|level| {
                level
                    .teams_by_start
                    .iter()
                    .filter_map(|(_, team)| level.team_queues.get(team))
            })
            .flat_map(|team_queue| team_queue.entries.iter().map(|entry| entry.key))
            .collect()
    }
}

/// Waiting requests of all groups in order of arrival. The longest wait is the same for all, so
/// they also time out in this order.
#[derive(Debug, Default)]
pub struct ArrivalOrder {
    entries: VecDeque<(Instant, RequestKey)>,
}

impl ArrivalOrder {
    /// Adds a request that was queued at `since`.
    pub fn push(&mut self, since: Instant, key: RequestKey) {
        self.entries.push_back((since, key));
    }

    /// Removes the next request that was queued at `cutoff` or before. It may have left its queue
    /// since.
    pub fn pop_expired(&mut self, cutoff: Instant) -> Option<(Instant, RequestKey)> {
        let (since, _) = self.entries.front()?;
        (*since <= cutoff)
            .then(|| self.entries.pop_front())
            .flatten()
    }
}
