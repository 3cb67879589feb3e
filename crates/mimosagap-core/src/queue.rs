//! The admission queue: by priority, then by weighted fair share between teams.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use mimosagap_rules::statement::Priority;
use mimosagap_types::prelude::*;

use crate::requests::RequestKey;

/// While a lower priority waits, one of this many admissions is given to the request that has
/// waited longest below the highest waiting priority, so that none starves.
pub const LOWER_TURN: u32 = 10;

/// For this long a request whose turn it is below the highest waiting priority, but which fits on
/// no engine, lets smaller ones of that priority pass; then it holds all others back until it fits.
pub const BYPASS_TIME: Duration = Duration::from_secs(3);

/// Resolution of the virtual time of fair sharing.
const VIRTUAL_UNIT: f64 = 1_000.0;

#[derive(Debug, Clone, Copy)]
struct Entry {
    key: RequestKey,
    cost: f64,
    since: Instant,
}

/// The waiting requests of one team at one priority, in order of arrival.
#[derive(Debug, Default)]
struct TeamLine {
    entries: VecDeque<Entry>,
    weight: f64,
    /// Virtual time at which the team's next request starts.
    start: u64,
}

/// One priority: start-time fair queueing between teams.
#[derive(Debug, Default)]
struct Level {
    lines: HashMap<TeamName, TeamLine>,
    order: BTreeSet<(u64, TeamName)>,
    virtual_now: u64,
}

impl Level {
    fn push(&mut self, team: &TeamName, weight: f64, entry: Entry) {
        if !self.lines.contains_key(team) {
            self.lines.insert(team.clone(), TeamLine::default());
        }
        let Some(line) = self.lines.get_mut(team) else {
            return;
        };
        line.weight = weight;
        if line.entries.is_empty() {
            // A team that was idle cannot save up its share.
            line.start = line.start.max(self.virtual_now);
            self.order.insert((line.start, team.clone()));
        }
        line.entries.push_back(entry);
    }

    fn head(&self) -> Option<Entry> {
        let (_, team) = self.order.first()?;
        self.lines.get(team)?.entries.front().copied()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "costs and weights are positive and bounded"
    )]
    fn pop(&mut self) -> Option<RequestKey> {
        let (start, team) = self.order.pop_first()?;
        self.virtual_now = start;
        let line = self.lines.get_mut(&team)?;
        let entry = line.entries.pop_front()?;
        let step = (entry.cost * VIRTUAL_UNIT / line.weight.max(1e-6)).max(1.0);
        line.start = start.saturating_add(step as u64);
        if !line.entries.is_empty() {
            self.order.insert((line.start, team));
        }
        Some(entry.key)
    }

    fn remove(&mut self, team: &TeamName, key: RequestKey) -> bool {
        let Some(line) = self.lines.get_mut(team) else {
            return false;
        };
        let Some(position) = line.entries.iter().position(|entry| entry.key == key) else {
            return false;
        };
        line.entries.remove(position);
        if line.entries.is_empty() {
            self.order.remove(&(line.start, team.clone()));
        }
        true
    }

    fn len(&self) -> usize {
        self.order
            .iter()
            .filter_map(|(_, team)| self.lines.get(team))
            .map(|line| line.entries.len())
            .sum()
    }
}

/// Names a priority within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLevel(usize);

/// The waiting requests of one group of targets.
#[derive(Debug, Default)]
pub struct GroupQueue {
    levels: [Level; 3],
    since_lower: u32,
    /// Since when the request whose turn it is below the highest priority has not fitted.
    blocked_since: Option<Instant>,
    length: usize,
}

impl GroupQueue {
    /// Adds a request. `cost` is its expected work, in tokens; `weight` is the team's share.
    pub fn push(
        &mut self,
        key: RequestKey,
        priority: Priority,
        team: &TeamName,
        weight: f64,
        cost: f64,
        since: Instant,
    ) {
        let entry = Entry { key, cost, since };
        self.levels[priority.index()].push(team, weight, entry);
        self.length += 1;
    }

    fn next_level(&self) -> Option<usize> {
        let mut waiting =
            (0..self.levels.len()).filter(|index| !self.levels[*index].order.is_empty());
        let highest = waiting.next()?;
        if self.since_lower + 1 < LOWER_TURN {
            return Some(highest);
        }
        waiting
            .min_by_key(|index| self.levels[*index].head().map(|entry| entry.since))
            .or(Some(highest))
    }

    /// The request which is next, and its level.
    #[must_use]
    pub fn head(&self) -> Option<(QueueLevel, RequestKey)> {
        self.head_of(self.next_level()?)
    }

    /// The request which may go while the next one, whose turn it is below the highest waiting
    /// priority, does not fit: the first of that priority, for a limited time.
    pub fn bypass(&mut self, now: Instant) -> Option<(QueueLevel, RequestKey)> {
        let highest = self
            .levels
            .iter()
            .position(|level| !level.order.is_empty())?;
        if self.next_level() == Some(highest) {
            return None;
        }
        let since = *self.blocked_since.get_or_insert(now);
        let may_pass = now.saturating_duration_since(since) < BYPASS_TIME;
        may_pass.then(|| self.head_of(highest)).flatten()
    }

    fn head_of(&self, level: usize) -> Option<(QueueLevel, RequestKey)> {
        let entry = self.levels[level].head()?;
        Some((QueueLevel(level), entry.key))
    }

    /// Takes the first request of a level.
    pub fn pop(&mut self, level: QueueLevel) -> Option<RequestKey> {
        let QueueLevel(level) = level;
        let is_turn = self.next_level() == Some(level);
        let (higher, rest) = self.levels.split_at(level);
        let is_waiting = |level: &Level| !level.order.is_empty();
        if is_turn {
            let is_lower = higher.iter().any(is_waiting);
            let lower_waits = rest[1..].iter().any(is_waiting);
            self.since_lower = if is_lower || !lower_waits {
                0
            } else {
                self.since_lower + 1
            };
            self.blocked_since = None;
        }
        let key = self.levels[level].pop()?;
        self.length -= 1;
        Some(key)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: RequestKey, priority: Priority, team: &TeamName) -> bool {
        let found = self.levels[priority.index()].remove(team, key);
        if found {
            self.length -= 1;
        }
        found
    }

    /// Requests waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Requests waiting at a priority.
    #[must_use]
    pub fn len_at(&self, priority: Priority) -> usize {
        self.levels[priority.index()].len()
    }

    /// All waiting requests.
    #[must_use]
    pub fn keys(&self) -> Vec<RequestKey> {
        self.levels
            .iter()
            .flat_map(|level| {
                level
                    .order
                    .iter()
                    .filter_map(|(_, team)| level.lines.get(team))
            })
            .flat_map(|line| line.entries.iter().map(|entry| entry.key))
            .collect()
    }
}

/// The order in which waiting requests exceed the longest wait: all wait equally long, so that
/// is the order of their arrival in the queue.
#[derive(Debug, Default)]
pub struct WaitOrder {
    entries: VecDeque<(Instant, RequestKey)>,
}

impl WaitOrder {
    /// Adds a request.
    pub fn push(&mut self, since: Instant, key: RequestKey) {
        self.entries.push_back((since, key));
    }

    /// Takes the next request which came to the queue at `limit` or before. It may have left the
    /// queue in the meantime.
    pub fn pop_before(&mut self, limit: Instant) -> Option<(Instant, RequestKey)> {
        let (since, _) = self.entries.front()?;
        (*since <= limit)
            .then(|| self.entries.pop_front())
            .flatten()
    }
}
