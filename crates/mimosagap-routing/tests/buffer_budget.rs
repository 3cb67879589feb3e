//! Answers without end beside small ones.

use mimosagap_routing::buffer_budget::BufferBudget;

const MEMORY: usize = 88 << 20;

/// Load pattern: a hundred targets send bodies without end at once. Each could take 8 MB, which
/// together is more memory than the host has.
#[test]
fn a_flood_of_endless_answers_stays_within_its_part_of_the_memory() {
    let mut budget = BufferBudget::with_memory(MEMORY);
    let mut floods = [0; 100];
    let mut is_growing = true;
    while is_growing {
        is_growing = false;
        for own in &mut floods {
            if budget.try_reserve(*own, 8 << 10) {
                *own += 8 << 10;
                is_growing = true;
            }
        }
    }
    assert!(budget.used_bytes() <= MEMORY / 8, "{}", budget.used_bytes());
}

/// A small answer is read although others take all that they can get.
#[test]
fn small_answers_are_read_beside_a_flood() {
    let mut budget = BufferBudget::with_memory(MEMORY);
    let mut own = 0;
    while budget.try_reserve(own, 8 << 10) {
        own += 8 << 10;
    }
    assert!(budget.try_reserve(0, 5000));
    budget.release(own + 5000);
    assert_eq!(budget.used_bytes(), 0);
}

/// A long answer of a sound target may be long while there is memory.
#[test]
fn a_long_answer_is_read_when_there_is_memory() {
    let mut budget = BufferBudget::with_memory(MEMORY);
    assert!(budget.try_reserve(0, 2 << 20));
}
