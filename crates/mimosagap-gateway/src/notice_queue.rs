//! Notices to all other hosts, each of which is sent several times because datagrams get lost.

use std::cell::RefCell;

/// How often a notice is sent again after the first time.
const REPEAT_COUNT: u32 = 2;

/// Notices that are still to be sent to the other hosts.
pub struct NoticeQueue<T> {
    unsent: RefCell<Vec<T>>,
    repeats: RefCell<Vec<(T, u32)>>,
}

impl<T> Default for NoticeQueue<T> {
    fn default() -> Self {
        Self {
            unsent: RefCell::default(),
            repeats: RefCell::default(),
        }
    }
}

impl<T: Clone> NoticeQueue<T> {
    /// Adds a notice. It replaces those that were not sent yet and that `is_outdated` selects.
    pub fn push(&self, notice: T, is_outdated: impl Fn(&T) -> bool) {
        let mut unsent = self.unsent.borrow_mut();
        unsent.retain(|other| !is_outdated(other));
        unsent.push(notice);
    }

    /// Removes the notices that were not sent yet, and schedules them to be repeated.
    pub fn take_new(&self) -> Vec<T> {
        let unsent = self.unsent.take();
        let due = unsent.iter().cloned().map(|notice| (notice, REPEAT_COUNT));
        self.repeats.borrow_mut().extend(due);
        unsent
    }

    /// Notices that are due to be sent again; each call counts as one repeat.
    pub fn take_repeats(&self) -> Vec<T> {
        let mut repeats = self.repeats.borrow_mut();
        let due = repeats.iter().map(|(notice, _)| notice.clone()).collect();
        repeats.retain_mut(|(_, repeats_left)| {
            *repeats_left -= 1;
            *repeats_left > 0
        });
        due
    }
}
