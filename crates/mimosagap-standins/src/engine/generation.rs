//! One generation: its progress, its readers and its events.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use hyper::body::{Body, Frame};
use serde::Serialize;
use serde_json::{Value, json};

/// Silence after which a reader gets a comment.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// The most events in one write, so that a resume from the start does not build one huge buffer.
const EVENTS_PER_FRAME: u32 = 256;

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GenerationEnd {
    Completed,
    Failed,
    Cancelled,
}

impl GenerationEnd {
    fn status(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    fn event(self) -> &'static str {
        match self {
            Self::Completed => "response.completed",
            Self::Failed => "response.failed",
            Self::Cancelled => "response.cancelled",
        }
    }
}

#[derive(Debug)]
struct Reader {
    number: u64,
    waker: Option<Waker>,
    last_sent: Instant,
    keepalive_due: bool,
}

/// The part that changes.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) produced: u32,
    pub(crate) end: Option<GenerationEnd>,
    pub(crate) ended_at: Option<Instant>,
    pub(crate) last_token: Option<Instant>,
    /// Since when nobody reads.
    pub(crate) unread_since: Option<Instant>,
    readers: Vec<Reader>,
    next_reader: u64,
}

/// One run of a model for one request.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) metadata: BTreeMap<String, String>,
    progress: Mutex<Progress>,
}

#[derive(Serialize)]
struct DeltaEvent<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    sequence_number: u32,
    item_id: &'a str,
    output_index: u32,
    content_index: u32,
    delta: &'a str,
}

impl Generation {
    pub(crate) fn new(
        number: u64,
        id: String,
        model: String,
        prompt_tokens: u32,
        metadata: BTreeMap<String, String>,
    ) -> Self {
        Self {
            number,
            id,
            model,
            prompt_tokens,
            metadata,
            progress: Mutex::new(Progress {
                produced: 0,
                end: None,
                ended_at: None,
                last_token: None,
                unread_since: Some(Instant::now()),
                readers: Vec::new(),
                next_reader: 0,
            }),
        }
    }

    pub(crate) fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The response object; `text` is included on request, because it can be long.
    pub(crate) fn object(&self, with_text: bool) -> Value {
        let (produced, end) = {
            let progress = self.progress();
            (progress.produced, progress.end)
        };
        let mut object = json!({
            "id": self.id,
            "object": "response",
            "status": end.map_or("in_progress", GenerationEnd::status),
            "model": self.model,
            "metadata": self.metadata,
            "usage": {
                "input_tokens": self.prompt_tokens,
                "output_tokens": produced,
                "total_tokens": self.prompt_tokens + produced,
            },
        });
        if with_text {
            let text: String = (1..=produced).map(|token| self.token(token)).collect();
            object["output"] = json!([{
                "type": "message",
                "role": "assistant",
                "content": [{"type": "output_text", "text": text}],
            }]);
        }
        if end == Some(GenerationEnd::Failed) {
            object["error"] = json!({
                "code": "memory_exceeded",
                "message": "the generation does not fit in the engine's memory; shorten it",
            });
        }
        object
    }

    fn token(&self, token: u32) -> String {
        format!("{}:{token} ", self.id)
    }

    fn put_event(&self, buffer: &mut BytesMut, sequence: u32, end: Option<GenerationEnd>) {
        let kind = match (sequence, end) {
            (_, Some(end)) => end.event(),
            (0, None) => "response.created",
            (_, None) => "response.output_text.delta",
        };
        buffer.put_slice(b"event: ");
        buffer.put_slice(kind.as_bytes());
        buffer.put_slice(b"\ndata: ");
        let result = if sequence > 0 && end.is_none() {
            let event = DeltaEvent {
                kind,
                sequence_number: sequence,
                item_id: &self.id,
                output_index: 0,
                content_index: 0,
                delta: &self.token(sequence),
            };
            serde_json::to_writer(buffer.writer(), &event)
        } else {
            let event = json!({
                "type": kind,
                "sequence_number": sequence,
                "response": self.object(false),
            });
            serde_json::to_writer(buffer.writer(), &event)
        };
        debug_assert!(result.is_ok(), "events always serialize");
        buffer.put_slice(b"\n\n");
    }
}

impl Progress {
    /// Wakes every reader.
    pub(crate) fn wake(&mut self) {
        for reader in &mut self.readers {
            if let Some(waker) = reader.waker.take() {
                waker.wake();
            }
        }
    }

    /// Marks the readers that saw nothing for a second.
    pub(crate) fn wake_silent(&mut self, now: Instant) {
        for reader in &mut self.readers {
            if now.duration_since(reader.last_sent) >= KEEPALIVE {
                reader.keepalive_due = true;
                if let Some(waker) = reader.waker.take() {
                    waker.wake();
                }
            }
        }
    }

    fn reader(&mut self, number: u64) -> Option<&mut Reader> {
        self.readers
            .iter_mut()
            .find(|reader| reader.number == number)
    }
}

/// A registered reader; dropping it lets the generation know that one reader left.
#[derive(Debug)]
pub(crate) struct ReaderHandle {
    generation: Arc<Generation>,
    number: u64,
}

impl ReaderHandle {
    pub(crate) fn new(generation: Arc<Generation>) -> Self {
        let number = {
            let mut progress = generation.progress();
            progress.next_reader += 1;
            progress.unread_since = None;
            let number = progress.next_reader;
            progress.readers.push(Reader {
                number,
                waker: None,
                last_sent: Instant::now(),
                keepalive_due: false,
            });
            number
        };
        Self { generation, number }
    }

    /// Waits for the end and returns the whole response object.
    pub(crate) async fn whole(self) -> Value {
        std::future::poll_fn(|context| {
            let mut progress = self.generation.progress();
            if progress.end.is_some() {
                return Poll::Ready(());
            }
            if let Some(reader) = progress.reader(self.number) {
                reader.waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
        self.generation.object(true)
    }
}

impl Drop for ReaderHandle {
    fn drop(&mut self) {
        let mut progress = self.generation.progress();
        progress
            .readers
            .retain(|reader| reader.number != self.number);
        if progress.readers.is_empty() {
            progress.unread_since = Some(Instant::now());
        }
    }
}

/// The event stream of a generation from one sequence number on.
#[derive(Debug)]
pub(crate) struct EventBody {
    reader: ReaderHandle,
    next: u32,
    done: bool,
}

impl EventBody {
    pub(crate) fn new(generation: Arc<Generation>, next: u32) -> Self {
        Self {
            reader: ReaderHandle::new(generation),
            next,
            done: false,
        }
    }

    fn put_events(&mut self, buffer: &mut BytesMut, produced: u32, end: Option<GenerationEnd>) {
        let generation = &self.reader.generation;
        let last = produced.min(self.next.saturating_add(EVENTS_PER_FRAME));
        while self.next <= last {
            generation.put_event(buffer, self.next, None);
            self.next += 1;
        }
        if last == produced && end.is_some() {
            if self.next == produced + 1 {
                generation.put_event(buffer, self.next, end);
            }
            self.done = true;
        }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.done {
            return Poll::Ready(None);
        }
        let (produced, end, keepalive) = {
            let number = self.reader.number;
            let mut progress = self.reader.generation.progress();
            let (produced, end) = (progress.produced, progress.end);
            let fresh = self.next <= produced || end.is_some();
            let Some(reader) = progress.reader(number) else {
                return Poll::Ready(None);
            };
            let keepalive = std::mem::take(&mut reader.keepalive_due);
            if !fresh && !keepalive {
                if !reader
                    .waker
                    .as_ref()
                    .is_some_and(|waker| waker.will_wake(context.waker()))
                {
                    reader.waker = Some(context.waker().clone());
                }
                return Poll::Pending;
            }
            reader.last_sent = Instant::now();
            (produced, end, keepalive && !fresh)
        };
        let mut buffer = BytesMut::with_capacity(256);
        if keepalive {
            buffer.put_slice(b": keepalive\n\n");
        } else {
            self.put_events(&mut buffer, produced, end);
            if buffer.is_empty() {
                return Poll::Ready(None);
            }
        }
        Poll::Ready(Some(Ok(Frame::data(buffer.freeze()))))
    }
}
