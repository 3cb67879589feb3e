//! Responses without end beside small ones.

use mimosagap_routing::buffer_budget::BufferBudget;

const MEMORY_BYTES: usize = 88 << 20;

/// A hundred targets send bodies without end at once. With a limit of 8 MB for each response they
/// would exceed the memory of the host together.
#[test]
fn endless_responses_stay_within_their_part_of_the_memory() {
    let mut budget = BufferBudget::with_memory(MEMORY_BYTES);
    let mut held_bytes_by_response = [0; 100];
    let mut is_growing = true;
    while is_growing {
        is_growing = false;
        for held_bytes in &mut held_bytes_by_response {
            if budget.try_reserve(*held_bytes, 8 << 10) {
                *held_bytes += 8 << 10;
                is_growing = true;
            }
        }
    }
    assert!(
        budget.used_bytes() <= MEMORY_BYTES / 8,
        "{}",
        budget.used_bytes()
    );
}

/// A small response is buffered although another has used up its share.
#[test]
fn small_responses_are_buffered_beside_an_endless_one() {
    let mut budget = BufferBudget::with_memory(MEMORY_BYTES);
    let mut held_bytes = 0;
    while budget.try_reserve(held_bytes, 8 << 10) {
        held_bytes += 8 << 10;
    }
    assert!(budget.try_reserve(0, 5000));
    budget.release(held_bytes + 5000);
    assert_eq!(budget.used_bytes(), 0);
}

/// A large response of a healthy target is buffered while there is memory.
#[test]
fn a_large_response_is_buffered_while_there_is_memory() {
    let mut budget = BufferBudget::with_memory(MEMORY_BYTES);
    assert!(budget.try_reserve(0, 2 << 20));
}
