//! Upstreams that have never accepted a connection.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::contact::Contact;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

#[test]
fn pauses_between_first_connections_grow_up_to_a_limit() {
    let mut contact = Contact::default();
    assert_eq!(contact.due_at(), Some(at(0)));
    let mut now = at(1000);
    let mut pauses = Vec::new();
    for _ in 0..7 {
        contact.note_failure(now);
        assert!(contact.has_failed());
        let due = contact.due_at().unwrap_or_default();
        pauses.push((due - now).as_millis());
        now = due;
    }
    assert_eq!(pauses, [250, 500, 1000, 2000, 4000, 4000, 4000]);
    contact.note_connected();
    assert!(contact.is_confirmed());
    assert_eq!(contact.due_at(), None);
}

/// Guards against leaving aside an upstream that has served, as crashed ones return at their address within seconds.
#[test]
fn failures_after_the_first_connection_change_nothing() {
    let mut contact = Contact::default();
    contact.note_connected();
    contact.note_failure(at(1000));
    assert!(contact.is_confirmed());
}

#[test]
fn failures_of_the_own_links_are_forgotten() {
    let mut contact = Contact::default();
    contact.note_failure(at(1000));
    contact.reset();
    assert_eq!(contact, Contact::Untried);
}
