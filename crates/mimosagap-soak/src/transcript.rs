//! The events of a stream as its client received them, over all of its attempts.

/// The events of one stream.
#[derive(Debug, Default)]
pub struct StreamTranscript {
    /// Attempt that brought the first event.
    first_attempt: Option<String>,
    /// Version of the engine that sent the first event.
    version: Option<String>,
    last_event_id: u64,
    is_joined: bool,
    /// Bytes that do not complete an event yet.
    pending: String,
}

impl StreamTranscript {
    /// Adds bytes of the response to the attempt `id`.
    ///
    /// # Errors
    /// A description of an event that is not the next one of the stream.
    pub fn push(&mut self, id: &str, bytes: &[u8]) -> Result<(), String> {
        self.pending.push_str(&String::from_utf8_lossy(bytes));
        while let Some((event, rest)) = self.pending.split_once("\n\n") {
            let number = self.last_event_id + 1;
            let prefix = format!("id: {number}\ndata: {id} ");
            let Some(version) = event.strip_prefix(&prefix) else {
                return Err(format!("{event:?} instead of event {number}"));
            };
            self.last_event_id = number;
            self.first_attempt.get_or_insert_with(|| id.to_owned());
            let first_version = self.version.get_or_insert_with(|| version.to_owned());
            self.is_joined |= first_version != version;
            self.pending = rest.to_owned();
        }
        Ok(())
    }

    /// Drops the beginning of an event whose response broke off.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Whether all events of a stream of this length are there and nothing else.
    #[must_use]
    pub fn is_complete(&self, event_count: u64) -> bool {
        self.last_event_id == event_count && self.pending.is_empty()
    }

    /// Whether the events come from engines of two versions.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Id of the last event; 0 if there is none.
    #[must_use]
    pub fn last_event_id(&self) -> u64 {
        self.last_event_id
    }

    /// The attempt that brought the first event.
    #[must_use]
    pub fn first_attempt(&self) -> Option<&str> {
        self.first_attempt.as_deref()
    }

    /// Version of the engine that sent the first event.
    #[must_use]
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }
}
