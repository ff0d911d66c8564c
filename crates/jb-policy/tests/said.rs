//! What upstreams say of themselves, in whatever order it comes.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::said::{LONGEST_REST, Rest, Statement};
use quickcheck::{Gen, QuickCheck};

const NOW: Moment = Duration::from_secs(100);

fn asks_for(rest: Duration) -> Statement {
    Statement {
        turned_away: true,
        rest: Some(rest),
        ..Statement::default()
    }
}

#[test]
fn rest_lasts_as_long_as_the_longest_that_was_asked_for_whatever_else_is_heard() {
    /// Milliseconds after the begin, and what was asked for, if anything.
    fn holds(heard: Vec<(u16, Option<u16>, bool)>) -> bool {
        let mut heard = heard;
        heard.sort_unstable();
        let mut rest = Rest::default();
        let mut longest = Moment::ZERO;
        heard.iter().all(|&(at, asked, turned_away)| {
            let at = NOW + Duration::from_millis(at.into());
            let asked = asked.map(|asked| Duration::from_millis(asked.into()));
            let statement = Statement {
                turned_away,
                rest: asked,
                leaving: false,
            };
            let new = rest.hear(statement, at);
            longest = longest.max(asked.map_or(Moment::ZERO, |asked| at + asked));
            let told = new.is_none_or(|until| asked.is_some() && until == rest.until());
            rest.until() >= longest && told
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 11))
        .tests(2000)
        .quickcheck(holds as fn(Vec<(u16, Option<u16>, bool)>) -> bool);
}

#[test]
fn answer_that_turns_nothing_away_and_asks_for_nothing_changes_nothing() {
    let mut rest = Rest::default();
    rest.hear(asks_for(Duration::from_secs(3)), NOW);
    let before = rest;
    assert_eq!(
        rest.hear(Statement::default(), NOW + Duration::from_secs(1)),
        None
    );
    assert_eq!(rest, before);
    assert!(rest.lasts(NOW + Duration::from_millis(2999)));
    assert!(!rest.lasts(NOW + Duration::from_secs(3)));
}

#[test]
fn refusal_without_a_wish_makes_a_short_pause_and_a_wish_of_ages_an_hour() {
    let mut rest = Rest::default();
    let refusal = Statement {
        turned_away: true,
        ..Statement::default()
    };
    assert_eq!(rest.hear(refusal, NOW), None);
    assert!(rest.lasts(NOW + Duration::from_millis(100)));
    assert!(!rest.lasts(NOW + Duration::from_millis(200)));
    rest.hear(asks_for(Duration::MAX), NOW);
    assert_eq!(rest.until(), NOW + LONGEST_REST);
}
