//! Wake-ups between parts that run in one task.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

use crate::requests::lock;

/// Polls a group of parts which wake each other.
///
/// The HTTP library's connection and body pass tokens through a channel and wake each other for
/// each. In one task, every such wake-up would run the whole task again. Here a wake-up during a
/// poll only repeats that poll.
pub struct LocalWake {
    state: Arc<WakeState>,
    waker: Waker,
}

struct WakeState {
    polling: AtomicBool,
    again: AtomicBool,
    task: Mutex<Waker>,
}

impl Wake for WakeState {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.again.store(true, Ordering::SeqCst);
        if !self.polling.load(Ordering::SeqCst) {
            let task = lock(&self.task).clone();
            task.wake();
        }
    }
}

impl Default for LocalWake {
    fn default() -> Self {
        let state = Arc::new(WakeState {
            polling: AtomicBool::new(false),
            again: AtomicBool::new(true),
            task: Mutex::new(Waker::noop().clone()),
        });
        Self {
            waker: Waker::from(Arc::clone(&state)),
            state,
        }
    }
}

impl LocalWake {
    /// Whether a part was woken since the last poll, or was never polled.
    #[must_use]
    pub fn is_woken(&self) -> bool {
        self.state.again.load(Ordering::SeqCst)
    }

    /// Whether wake-ups go to the task of `context`.
    #[must_use]
    pub fn belongs_to(&self, context: &Context<'_>) -> bool {
        lock(&self.state.task).will_wake(context.waker())
    }

    /// Polls until the parts are ready or no part has woken another.
    pub fn poll<T>(
        &self,
        context: &mut Context<'_>,
        mut parts: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        {
            let mut task = lock(&self.state.task);
            if !task.will_wake(context.waker()) {
                task.clone_from(context.waker());
            }
        }
        let mut inner = Context::from_waker(&self.waker);
        self.state.polling.store(true, Ordering::SeqCst);
        loop {
            self.state.again.store(false, Ordering::SeqCst);
            let polled = parts(&mut inner);
            if polled.is_ready() {
                self.state.polling.store(false, Ordering::SeqCst);
                return polled;
            }
            if self.state.again.load(Ordering::SeqCst) {
                continue;
            }
            self.state.polling.store(false, Ordering::SeqCst);
            // A wake-up from another thread may have come between the two lines before.
            if !self.state.again.load(Ordering::SeqCst) {
                return Poll::Pending;
            }
            self.state.polling.store(true, Ordering::SeqCst);
        }
    }
}
