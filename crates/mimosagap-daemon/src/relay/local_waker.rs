//! A waker that confines wake-ups between futures of one task to that task's current poll.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

use crate::requests::lock;

/// Polls a group of futures that run in one task and wake each other.
///
/// The HTTP library's connection and body exchange data through a channel and wake each other for
/// each token. With the task's own waker, every such wake-up would schedule the whole task again.
/// With this waker, a wake-up during a poll only repeats that poll.
pub struct LocalWaker {
    state: Arc<WakeState>,
    waker: Waker,
}

struct WakeState {
    is_polling: AtomicBool,
    is_woken: AtomicBool,
    task_waker: Mutex<Waker>,
}

impl Wake for WakeState {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.is_woken.store(true, Ordering::SeqCst);
        if !self.is_polling.load(Ordering::SeqCst) {
            let task_waker = lock(&self.task_waker).clone();
            task_waker.wake();
        }
    }
}

impl Default for LocalWaker {
    fn default() -> Self {
        let state = Arc::new(WakeState {
            is_polling: AtomicBool::new(false),
            is_woken: AtomicBool::new(true),
            task_waker: Mutex::new(Waker::noop().clone()),
        });
        Self {
            waker: Waker::from(Arc::clone(&state)),
            state,
        }
    }
}

impl LocalWaker {
    /// Whether the group was woken since the last poll, or was never polled.
    #[must_use]
    pub fn is_woken(&self) -> bool {
        self.state.is_woken.load(Ordering::SeqCst)
    }

    /// Whether wake-ups outside of a poll reach the task of `context`.
    #[must_use]
    pub fn wakes_task_of(&self, context: &Context<'_>) -> bool {
        lock(&self.state.task_waker).will_wake(context.waker())
    }

    /// Calls `poll_group` until it is ready or no wake-up came during the call.
    pub fn poll<T>(
        &self,
        context: &mut Context<'_>,
        mut poll_group: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        {
            let mut task_waker = lock(&self.state.task_waker);
            if !task_waker.will_wake(context.waker()) {
                task_waker.clone_from(context.waker());
            }
        }
        let mut local_context = Context::from_waker(&self.waker);
        self.state.is_polling.store(true, Ordering::SeqCst);
        loop {
            self.state.is_woken.store(false, Ordering::SeqCst);
            let polled = poll_group(&mut local_context);
            if polled.is_ready() {
                self.state.is_polling.store(false, Ordering::SeqCst);
                return polled;
            }
            if self.state.is_woken.load(Ordering::SeqCst) {
                continue;
            }
            self.state.is_polling.store(false, Ordering::SeqCst);
            // Another thread may have woken the group between the check and the store above.
            if !self.state.is_woken.load(Ordering::SeqCst) {
                return Poll::Pending;
            }
            self.state.is_polling.store(true, Ordering::SeqCst);
        }
    }
}
