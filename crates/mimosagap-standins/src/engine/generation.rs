//! A generation with its progress, its readers and its server-sent events.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use hyper::body::{Body, Frame};
use serde::Serialize;
use serde_json::{Value, json};

/// Time without data after which a reader gets a keepalive comment.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of events in one body frame, so that a resume from the start needs no huge buffer.
const MAX_EVENTS_PER_FRAME: u32 = 256;

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

    fn event_name(self) -> &'static str {
        match self {
            Self::Completed => "response.completed",
            Self::Failed => "response.failed",
            Self::Cancelled => "response.cancelled",
        }
    }
}

#[derive(Debug)]
struct StreamReader {
    reader_id: u64,
    waker: Option<Waker>,
    last_sent: Instant,
    keepalive_due: bool,
}

/// Mutable state of a generation.
#[derive(Debug)]
pub(crate) struct GenerationProgress {
    pub(crate) produced: u32,
    pub(crate) end: Option<GenerationEnd>,
    pub(crate) ended_at: Option<Instant>,
    pub(crate) last_token_at: Option<Instant>,
    /// When the last reader disconnected, or the start if there was none; `None` while there are
    /// readers.
    pub(crate) unread_since: Option<Instant>,
    readers: Vec<StreamReader>,
    next_reader_id: u64,
}

/// The execution of one request by a model.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) stream_id: u64,
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) metadata: BTreeMap<String, String>,
    progress: Mutex<GenerationProgress>,
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
        stream_id: u64,
        id: String,
        model: String,
        prompt_tokens: u32,
        metadata: BTreeMap<String, String>,
    ) -> Self {
        Self {
            stream_id,
            id,
            model,
            prompt_tokens,
            metadata,
            progress: Mutex::new(GenerationProgress {
                produced: 0,
                end: None,
                ended_at: None,
                last_token_at: None,
                unread_since: Some(Instant::now()),
                readers: Vec::new(),
                next_reader_id: 0,
            }),
        }
    }

    pub(crate) fn progress(&self) -> MutexGuard<'_, GenerationProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The JSON response object. Includes the output text only if `with_text` is set, as it can be
    /// long.
    pub(crate) fn response_object(&self, with_text: bool) -> Value {
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
            let text: String = (1..=produced)
                .map(|token_index| self.token_text(token_index))
                .collect();
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

    fn token_text(&self, token_index: u32) -> String {
        format!("{}:{token_index} ", self.id)
    }

    fn write_event(&self, buffer: &mut BytesMut, sequence: u32, end: Option<GenerationEnd>) {
        let kind = match (sequence, end) {
            (_, Some(end)) => end.event_name(),
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
                delta: &self.token_text(sequence),
            };
            serde_json::to_writer(buffer.writer(), &event)
        } else {
            let event = json!({
                "type": kind,
                "sequence_number": sequence,
                "response": self.response_object(false),
            });
            serde_json::to_writer(buffer.writer(), &event)
        };
        debug_assert!(result.is_ok(), "events always serialize");
        buffer.put_slice(b"\n\n");
    }
}

impl GenerationProgress {
    pub(crate) fn wake_readers(&mut self) {
        for reader in &mut self.readers {
            if let Some(waker) = reader.waker.take() {
                waker.wake();
            }
        }
    }

    /// Makes the readers without data for [`KEEPALIVE_PERIOD`] send a keepalive comment.
    pub(crate) fn wake_idle_readers(&mut self, now: Instant) {
        for reader in &mut self.readers {
            if now.duration_since(reader.last_sent) >= KEEPALIVE_PERIOD {
                reader.keepalive_due = true;
                if let Some(waker) = reader.waker.take() {
                    waker.wake();
                }
            }
        }
    }

    fn reader(&mut self, reader_id: u64) -> Option<&mut StreamReader> {
        self.readers
            .iter_mut()
            .find(|reader| reader.reader_id == reader_id)
    }
}

/// Registration of a reader at a generation; dropping it removes the reader.
#[derive(Debug)]
pub(crate) struct ReaderHandle {
    generation: Arc<Generation>,
    reader_id: u64,
}

impl ReaderHandle {
    pub(crate) fn new(generation: Arc<Generation>) -> Self {
        let reader_id = {
            let mut progress = generation.progress();
            progress.next_reader_id += 1;
            progress.unread_since = None;
            let reader_id = progress.next_reader_id;
            progress.readers.push(StreamReader {
                reader_id,
                waker: None,
                last_sent: Instant::now(),
                keepalive_due: false,
            });
            reader_id
        };
        Self {
            generation,
            reader_id,
        }
    }

    /// Waits until the generation ends and returns the response object with its text.
    pub(crate) async fn wait_for_end(self) -> Value {
        std::future::poll_fn(|context| {
            let mut progress = self.generation.progress();
            if progress.end.is_some() {
                return Poll::Ready(());
            }
            if let Some(reader) = progress.reader(self.reader_id) {
                reader.waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
        self.generation.response_object(true)
    }
}

impl Drop for ReaderHandle {
    fn drop(&mut self) {
        let mut progress = self.generation.progress();
        progress
            .readers
            .retain(|reader| reader.reader_id != self.reader_id);
        if progress.readers.is_empty() {
            progress.unread_since = Some(Instant::now());
        }
    }
}

/// The server-sent events of a generation, from a given sequence number on.
#[derive(Debug)]
pub(crate) struct EventBody {
    reader: ReaderHandle,
    next_sequence: u32,
    finished: bool,
}

impl EventBody {
    pub(crate) fn new(generation: Arc<Generation>, next_sequence: u32) -> Self {
        Self {
            reader: ReaderHandle::new(generation),
            next_sequence,
            finished: false,
        }
    }

    fn write_events(&mut self, buffer: &mut BytesMut, produced: u32, end: Option<GenerationEnd>) {
        let generation = &self.reader.generation;
        let last = produced.min(self.next_sequence.saturating_add(MAX_EVENTS_PER_FRAME));
        while self.next_sequence <= last {
            generation.write_event(buffer, self.next_sequence, None);
            self.next_sequence += 1;
        }
        if last == produced && end.is_some() {
            if self.next_sequence == produced + 1 {
                generation.write_event(buffer, self.next_sequence, end);
            }
            self.finished = true;
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
        if self.finished {
            return Poll::Ready(None);
        }
        let (produced, end, keepalive) = {
            let reader_id = self.reader.reader_id;
            let mut progress = self.reader.generation.progress();
            let (produced, end) = (progress.produced, progress.end);
            let has_new_events = self.next_sequence <= produced || end.is_some();
            let Some(reader) = progress.reader(reader_id) else {
                return Poll::Ready(None);
            };
            let keepalive = std::mem::take(&mut reader.keepalive_due);
            if !has_new_events && !keepalive {
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
            (produced, end, keepalive && !has_new_events)
        };
        let mut buffer = BytesMut::with_capacity(256);
        if keepalive {
            buffer.put_slice(b": keepalive\n\n");
        } else {
            self.write_events(&mut buffer, produced, end);
            if buffer.is_empty() {
                return Poll::Ready(None);
            }
        }
        Poll::Ready(Some(Ok(Frame::data(buffer.freeze()))))
    }
}
