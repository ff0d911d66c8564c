//! Origins of streams: which software version began them, for how long it is known, and which boxes own them.

use std::time::Duration;

use jb_policy::rendezvous::{name_hash, weight};
use jb_policy::stream_origin::{LIFETIME, MAX_ORIGINS, MAX_VERSION_BYTES, Member, OWNERS, Origins, owners};

const SECOND: Duration = Duration::from_secs(1);

fn version(origins: &Origins, request: u64, now: Duration) -> Option<&str> {
    origins.get(request, now).map(String::as_str)
}

#[test]
fn origin_is_known_until_it_expires() {
    let mut origins = Origins::default();
    origins.insert(1, "1.0".to_owned(), SECOND);
    let last = SECOND + LIFETIME - Duration::from_millis(1);
    assert_eq!(version(&origins, 1, last), Some("1.0"));
    assert_eq!(version(&origins, 1, SECOND + LIFETIME), None);
    assert_eq!(version(&origins, 2, SECOND), None);
    assert_eq!(origins.iter(last).count(), 1);
    assert_eq!(origins.iter(SECOND + LIFETIME).count(), 0);
}

/// Guards against a late or forged message that changes the version of a running stream.
#[test]
fn first_version_of_a_stream_wins_until_it_expires() {
    let mut origins = Origins::default();
    origins.insert(1, "1.0".to_owned(), SECOND);
    origins.insert(1, "2.0".to_owned(), 2 * SECOND);
    assert_eq!(version(&origins, 1, 2 * SECOND), Some("1.0"));
    // The second insert doesn't prolong the first.
    assert_eq!(version(&origins, 1, SECOND + LIFETIME), None);
    origins.insert(1, "2.0".to_owned(), SECOND + LIFETIME);
    assert_eq!(version(&origins, 1, SECOND + LIFETIME), Some("2.0"));
}

#[test]
fn removed_stream_is_forgotten_and_may_begin_again() {
    let mut origins = Origins::default();
    origins.insert(1, "1.0".to_owned(), SECOND);
    origins.insert(2, "1.0".to_owned(), SECOND);
    origins.remove(1);
    origins.remove(3);
    assert_eq!(version(&origins, 1, SECOND), None);
    assert_eq!(version(&origins, 2, SECOND), Some("1.0"));
    origins.insert(1, "2.0".to_owned(), 30 * SECOND);
    // The time of the first beginning doesn't expire the second.
    origins.insert(3, "2.0".to_owned(), SECOND + LIFETIME);
    assert_eq!(version(&origins, 1, SECOND + LIFETIME), Some("2.0"));
}

#[test]
fn oldest_origin_is_evicted_from_a_full_ledger() {
    let mut origins = Origins::default();
    for request in 0..MAX_ORIGINS as u64 {
        origins.insert(request, "1.0".to_owned(), Duration::from_micros(request));
    }
    let now = SECOND;
    assert_eq!(origins.iter(now).count(), MAX_ORIGINS);
    origins.insert(u64::MAX, "2.0".to_owned(), now);
    assert_eq!(origins.iter(now).count(), MAX_ORIGINS);
    assert_eq!(version(&origins, 0, now), None);
    assert_eq!(version(&origins, 1, now), Some("1.0"));
    assert_eq!(version(&origins, u64::MAX, now), Some("2.0"));
}

/// Guards against an insert of a known stream that evicts another one.
#[test]
fn known_stream_evicts_nothing_from_a_full_ledger() {
    let mut origins = Origins::default();
    for request in 0..MAX_ORIGINS as u64 {
        origins.insert(request, "1.0".to_owned(), Duration::from_micros(request));
    }
    origins.insert(1, "2.0".to_owned(), SECOND);
    assert_eq!(version(&origins, 0, SECOND), Some("1.0"));
    assert_eq!(version(&origins, 1, SECOND), Some("1.0"));
}

#[test]
fn expired_origins_make_room_before_others_are_evicted() {
    let mut origins = Origins::default();
    origins.insert(u64::MAX, "old".to_owned(), Duration::ZERO);
    for request in 1..MAX_ORIGINS as u64 {
        origins.insert(request, "1.0".to_owned(), SECOND);
    }
    origins.insert(0, "1.0".to_owned(), LIFETIME);
    assert_eq!(origins.iter(LIFETIME).count(), MAX_ORIGINS);
    assert_eq!(version(&origins, 1, LIFETIME), Some("1.0"));
}

#[test]
fn version_longer_than_the_limit_is_not_stored() {
    let mut origins = Origins::default();
    origins.insert(1, "v".repeat(MAX_VERSION_BYTES + 1), SECOND);
    assert_eq!(version(&origins, 1, SECOND), None);
    origins.insert(1, "v".repeat(MAX_VERSION_BYTES), SECOND);
    assert!(version(&origins, 1, SECOND).is_some());
}

/// Names and halls of boxes, spread over halls in turn.
fn boxes(count: usize, halls: usize) -> Vec<(u64, String)> {
    (0..count)
        .map(|n| (name_hash(&format!("box-{n}")), format!("hall-{}", n % halls)))
        .collect()
}

fn members(boxes: &[(u64, String)]) -> Vec<Member<'_>> {
    boxes
        .iter()
        .map(|(name_hash, hall)| Member {
            name_hash: *name_hash,
            hall,
        })
        .collect()
}

/// Names of the owners, in order.
fn owner_names(request: u64, members: &[Member<'_>]) -> Vec<u64> {
    let owners = owners(request, members).into_iter();
    owners.map(|index| members[index].name_hash).collect()
}

/// Guards against the loss of all owners with one data hall.
#[test]
fn owners_are_three_boxes_of_several_halls() {
    let boxes = boxes(60, 3);
    let members = members(&boxes);
    for request in 0..2000 {
        let owners = owners(request, &members);
        assert_eq!(owners.len(), OWNERS);
        let first = members[owners[0]];
        assert!(
            members
                .iter()
                .all(|m| weight(request, m.name_hash) <= weight(request, first.name_hash))
        );
        assert!(owners.iter().any(|owner| members[*owner].hall != first.hall));
        let names: std::collections::BTreeSet<usize> = owners.into_iter().collect();
        assert_eq!(names.len(), OWNERS);
    }
}

#[test]
fn all_boxes_of_a_small_fleet_are_owners() {
    for (count, halls) in [(0, 1), (1, 1), (2, 1), (2, 2), (3, 1), (3, 2), (20, 1)] {
        let boxes = boxes(count, halls);
        assert_eq!(owners(7, &members(&boxes)).len(), count.min(OWNERS));
    }
}

/// Guards against boxes that list each other in different orders and ask different owners.
#[test]
fn owners_do_not_depend_on_the_order_of_the_boxes() {
    let boxes = boxes(60, 3);
    let members = members(&boxes);
    let reversed: Vec<Member<'_>> = members.iter().rev().copied().collect();
    for request in 0..500 {
        assert_eq!(owner_names(request, &members), owner_names(request, &reversed));
    }
}

/// Guards against a fleet that forgets running streams when a box joins or leaves.
#[test]
fn at_most_one_owner_changes_when_a_box_leaves() {
    let boxes = boxes(60, 3);
    let members = members(&boxes);
    for request in 0..500 {
        let before = owner_names(request, &members);
        for left in 0..members.len() {
            let mut rest = members.clone();
            rest.remove(left);
            let after = owner_names(request, &rest);
            let kept = before.iter().filter(|name| after.contains(name)).count();
            assert!(kept >= OWNERS - 1, "{request}: {kept} kept without {left}");
        }
    }
}

#[test]
fn requests_spread_over_all_boxes() {
    let boxes = boxes(60, 3);
    let members = members(&boxes);
    let mut counts = vec![0; members.len()];
    for request in 0..6000 {
        for owner in owners(name_hash(&format!("r{request}")), &members) {
            counts[owner] += 1;
        }
    }
    // 300 on average.
    assert!(
        counts.iter().all(|count| (200..400).contains(count)),
        "{counts:?}"
    );
}
