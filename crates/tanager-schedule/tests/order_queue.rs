//! Queue of the orders to a worker.

use tanager_schedule::order_queue::OrderQueue;

/// Guards against a call in flight for each of thousands of orders.
#[test]
fn senders_do_not_grow_with_the_orders() {
    let mut queue = OrderQueue::new(6);
    let senders = (0..20_000).filter(|order| queue.push(*order)).count();
    assert_eq!(senders, 6);
    assert_eq!(queue.len(), 20_000);
}

/// Guards against an order that no sender takes, and against orders out of turn.
#[test]
fn orders_are_taken_in_turn_and_none_is_left() {
    let mut queue = OrderQueue::new(2);
    let mut senders = 0;
    let mut taken = Vec::new();
    for order in 0..1_000 {
        senders += usize::from(queue.push(order));
        assert!(senders <= 2);
        // The senders pause and go on in an arbitrary pattern.
        while senders > 0 && order % 7 != 3 {
            match queue.take() {
                Some(order) => taken.push(order),
                None => senders -= 1,
            }
        }
    }
    while senders > 0 {
        match queue.take() {
            Some(order) => taken.push(order),
            None => senders -= 1,
        }
    }
    assert!(queue.is_empty());
    assert_eq!(taken, (0..1_000).collect::<Vec<_>>());
}
