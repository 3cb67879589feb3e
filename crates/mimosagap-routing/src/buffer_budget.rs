//! Memory budget for responses of targets that are buffered until they are complete.
//!
//! Faulty targets may send bodies without end, many at once and at the full rate of the link,
//! beside healthy targets whose responses are small. Each response may use a quarter of the
//! remaining budget, so the largest ones are aborted first and the small ones complete.

/// The budget of all responses is the memory of the host divided by this.
const MEMORY_DIVISOR: usize = 8;

/// The share of one response is the remaining budget divided by this.
const SHARE_DIVISOR: usize = 4;

/// Size in bytes that one response may always have; larger than most responses of plain services.
const MIN_SHARE_BYTES: usize = 16 << 10;

/// Bytes that all buffered responses of a host use together.
#[derive(Debug, Clone, Copy)]
pub struct BufferBudget {
    capacity_bytes: usize,
    used_bytes: usize,
}

impl BufferBudget {
    /// Creates the budget of a host with this much memory in bytes.
    #[must_use]
    pub fn with_memory(memory_bytes: usize) -> Self {
        Self {
            capacity_bytes: memory_bytes / MEMORY_DIVISOR,
            used_bytes: 0,
        }
    }

    /// Reserves `additional_bytes` for a response that holds `held_bytes`. Returns `false` and
    /// reserves nothing if the response would exceed its share.
    pub fn try_reserve(&mut self, held_bytes: usize, additional_bytes: usize) -> bool {
        let share_bytes = self.capacity_bytes.saturating_sub(self.used_bytes) / SHARE_DIVISOR;
        let is_within_share = held_bytes + additional_bytes <= share_bytes.max(MIN_SHARE_BYTES);
        if is_within_share {
            self.used_bytes += additional_bytes;
        }
        is_within_share
    }

    /// Returns the bytes of a response that is no longer buffered.
    pub fn release(&mut self, released_bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(released_bytes);
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}
