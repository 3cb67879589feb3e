//! Checks that streams stay at the software version of the engine that began them, and that clients
//! who resume a stream are served.

/// Streams of a run that may hold events of two versions.
const MAX_JOINED_STREAMS: usize = 2;

/// Fewest resumed streams whose share is judged.
const MIN_RESUMED_STREAMS: usize = 12;

/// Engines that have to serve a version for its resumed streams to count.
const MIN_SERVING_ENGINES: usize = 2;

/// Least share of resumed streams that go on, as a fraction of the share of new ones that begin.
const MIN_RELATIVE_SHARE: f64 = 0.5;

/// An attempt of a client at a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamAttempt {
    /// Whether all hosts were connected from its sending to its end.
    pub were_hosts_connected: bool,
    /// Whether it brought an event.
    pub has_event: bool,
    /// Engines that served the version of the stream when it was sent; `None` if the attempt starts
    /// a new stream.
    pub serving_engines: Option<usize>,
}

/// Attempts, and those of them that brought an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// Attempts that were sent.
    pub sent: usize,
    /// Attempts that brought at least one event.
    pub served: usize,
}

impl AttemptCount {
    fn share(self) -> f64 {
        let (sent, served) = (u32::try_from(self.sent), u32::try_from(self.served));
        f64::from(served.unwrap_or(0)) / f64::from(sent.unwrap_or(0).max(1))
    }
}

/// How the streams of a run fared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionOutcome {
    /// Ids of the attempts that began streams with events of two versions.
    pub joined_streams: Vec<String>,
    /// Streams that were resumed, at any time and whatever served their version.
    pub all_resumed: AttemptCount,
    /// Streams that were resumed while all hosts were connected and their version was served.
    pub resumed: AttemptCount,
    /// New streams, while all hosts were connected.
    pub new: AttemptCount,
}

impl VersionOutcome {
    /// The guarantees that the streams violate.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        if self.joined_streams.len() > MAX_JOINED_STREAMS {
            violations.push(format!(
                "{} streams hold events of two versions, such as {:?}",
                self.joined_streams.len(),
                &self.joined_streams[..MAX_JOINED_STREAMS]
            ));
        }
        if self.resumed.sent >= MIN_RESUMED_STREAMS
            && self.resumed.share() < MIN_RELATIVE_SHARE * self.new.share()
        {
            violations.push(format!(
                "too few resumed streams go on, although engines of their version serve: {self:?}"
            ));
        }
        violations
    }
}

/// Records the attempts of clients at streams.
#[derive(Debug, Default)]
pub struct VersionChecker {
    attempts: Vec<StreamAttempt>,
    joined_streams: Vec<String>,
}

impl VersionChecker {
    /// Records an attempt once it has ended.
    pub fn record_attempt(&mut self, attempt: StreamAttempt) {
        self.attempts.push(attempt);
    }

    /// Records a stream with events of two versions, by the attempt that began it.
    pub fn record_joined(&mut self, id: &str) {
        self.joined_streams.push(id.to_owned());
    }

    /// Sums up the run.
    #[must_use]
    pub fn outcome(&self) -> VersionOutcome {
        let mut outcome = VersionOutcome {
            joined_streams: self.joined_streams.clone(),
            ..VersionOutcome::default()
        };
        let count = |count: &mut AttemptCount, attempt: &StreamAttempt| {
            count.sent += 1;
            count.served += usize::from(attempt.has_event);
        };
        for attempt in &self.attempts {
            if attempt.serving_engines.is_some() {
                count(&mut outcome.all_resumed, attempt);
            }
            match attempt.serving_engines {
                _ if !attempt.were_hosts_connected => {}
                None => count(&mut outcome.new, attempt),
                Some(engines) if engines >= MIN_SERVING_ENGINES => {
                    count(&mut outcome.resumed, attempt);
                }
                Some(_) => {}
            }
        }
        outcome
    }
}
