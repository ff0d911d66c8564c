//! The copy of the store's content that a box keeps for other boxes.

#![allow(clippy::expect_used)]

use bytes::Bytes;
use jb_relay::mirror::Mirror;
use jb_relay::port::{Change, Revision};

fn change(key: &str, number: u64, value: Option<&'static str>) -> Change {
    Change {
        key: key.to_owned(),
        value: value.map(Bytes::from),
        revision: Revision { era: 1, number },
    }
}

#[test]
fn older_change_does_not_replace_a_later_one() {
    let mut mirror = Mirror::default();
    mirror.apply(&change("a", 5, Some("later")));
    mirror.apply(&change("a", 3, Some("older")));
    mirror.apply(&change("a", 4, None));
    let item = mirror.items().next().expect("an item");
    assert_eq!(item.value.as_deref(), Some(&b"later"[..]));
}

#[test]
fn byte_count_follows_the_stored_items() {
    let mut mirror = Mirror::default();
    mirror.apply(&change("a", 1, Some("four")));
    mirror.apply(&change("b", 2, Some("seven..")));
    assert_eq!(mirror.bytes(), 5 + 8);
    mirror.apply(&change("a", 3, Some("")));
    assert_eq!(mirror.bytes(), 1 + 8);
    mirror.apply(&change("b", 4, None));
    mirror.apply(&change("c", 5, None));
    assert_eq!((mirror.len(), mirror.bytes()), (1, 1));
}
