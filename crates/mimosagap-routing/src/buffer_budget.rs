//! How much of the answers of targets a host keeps in memory until they are whole.
//!
//! Load pattern: sick targets send bodies that never end, many at once and as fast as the link
//! allows, beside sound ones whose answers are small. Each answer may take a part of what is left,
//! so the large ones are given up first and the small ones go on.

/// Part of a host's memory that answers may take together.
const MEMORY_PART: usize = 8;

/// An answer may take this part of what is left.
const SHARE: usize = 4;

/// An answer may always take as much, in bytes; larger than most answers of plain services.
const FLOOR: usize = 16 << 10;

/// What answers take together.
#[derive(Debug, Clone, Copy)]
pub struct BufferBudget {
    most: usize,
    used: usize,
}

impl BufferBudget {
    /// The budget of a host with this much memory, in bytes.
    #[must_use]
    pub fn with_memory(bytes: usize) -> Self {
        Self {
            most: bytes / MEMORY_PART,
            used: 0,
        }
    }

    /// Takes `more` bytes for an answer that has `own`, unless that is more than its share.
    pub fn try_reserve(&mut self, own: usize, more: usize) -> bool {
        let share = self.most.saturating_sub(self.used) / SHARE;
        let may_grow = own + more <= share.max(FLOOR);
        if may_grow {
            self.used += more;
        }
        may_grow
    }

    /// An answer of this many bytes is not kept any more.
    pub fn release(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Bytes that are taken.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used
    }
}
