//! Choice of an upstream for a request.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_policy::health::Change;
use jb_policy::prefix::{Chain, Scope};
use jb_policy::route::{Choice, Pool, Query};
use jb_policy::stream::Start;
use jb_protocol::engine::{Load, Report};
use jb_protocol::error::Kind;
use jb_protocol::priority::Priority;
use jb_tree::document;
use jb_tree::view::{Service, View};

fn service(engines: usize, more: &str) -> Service {
    let mut text = format!("[\"/services/s\"]\nmodel = \"m\"\nweights = \"w1\"\n{more}\n");
    for n in 0..engines {
        text.push_str(&format!(
            "[\"/services/s/e{n}\"]\naddress = \"127.0.0.1:{}\"\nhall = \"h\"\n",
            1000 + n
        ));
    }
    let tree = document::read("test", &text).expect("a tree");
    View::compile(&tree, 1).services["s"].clone()
}

fn query(customer: &str, event: usize) -> Query {
    let scope = Scope {
        customer,
        model: "m",
        weights: "w1",
    };
    let levels = [
        "style ".repeat(1000),
        format!("event {event} ").repeat(300),
        "now".to_owned(),
    ];
    Query {
        chain: Chain::new(&scope, &levels),
        class: Priority::Normal,
        deadline: Duration::from_secs(30),
        tried: Vec::new(),
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(incarnation: u64, cached_tokens: u32) -> Start {
    Start {
        incarnation,
        prompt_tokens: 3000,
        cached_tokens,
        load: Load::default(),
    }
}

fn choose(pool: &mut Pool, query: &Query, now: Duration) -> Choice {
    pool.choose(query, now).expect("an upstream")
}

#[test]
fn customers_and_weights_never_share_a_prefix() {
    let levels = ["the same text ".repeat(200), "now".to_owned()];
    let chain = |customer, weights| {
        let scope = Scope {
            customer,
            model: "m",
            weights,
        };
        Chain::new(&scope, &levels)
    };
    let hashes = |c: &Chain| c.prefixes.iter().map(|m| m.hash).collect::<Vec<_>>();
    let own = hashes(&chain("ann", "w1"));
    for other in [hashes(&chain("bob", "w1")), hashes(&chain("ann", "w2"))] {
        assert!(own.iter().all(|hash| !other.contains(hash)));
    }
}

#[test]
fn boxes_without_knowledge_choose_the_same_upstream() {
    let service = service(9, "");
    let first = choose(&mut Pool::new(&service, "h"), &query("ann", 1), at(0));
    let second = choose(&mut Pool::new(&service, "h"), &query("ann", 1), at(0));
    assert_eq!(first.upstream, second.upstream);
}

#[test]
fn cached_prefix_is_used_until_queueing_costs_more() {
    let mut pool = Pool::new(
        &service(4, "prefill_us_per_token = 100.0\ncache_weight = 0.0"),
        "h",
    );
    let home = choose(&mut pool, &query("ann", 1), at(0)).upstream;
    let start = start(1, 0);
    pool.record_start(&home, &query("ann", 1).chain, &start, at(300));
    assert_eq!(choose(&mut pool, &query("ann", 1), at(310)).upstream, home);
    let busy = Start {
        load: Load {
            waiting_ms: [0, 2000, 0],
            running: 0,
        },
        ..start
    };
    pool.record_start(&home, &query("ann", 1).chain, &busy, at(320));
    assert_ne!(choose(&mut pool, &query("ann", 1), at(330)).upstream, home);
}

#[test]
fn new_incarnation_clears_the_known_prefixes() {
    let mut pool = Pool::new(&service(4, ""), "h");
    let query = query("ann", 1);
    let home = choose(&mut pool, &query, at(0)).upstream;
    pool.record_start(&home, &query.chain, &start(1, 0), at(100));
    let cached = |pool: &Pool| {
        let all = pool.explain(&query, at(200));
        all.candidates
            .iter()
            .filter(|c| !c.presumed)
            .map(|c| c.cached_tokens)
            .max()
    };
    assert!(cached(&pool) > Some(0));
    let report = Report {
        incarnation: 2,
        model: "m".to_owned(),
        weights: "w1".to_owned(),
        leaving: false,
        age_ms: 0,
        load: Load::default(),
        fence: 0,
    };
    assert!(pool.record_report(&home, &report, at(150)));
    assert_eq!(cached(&pool), Some(0));
}

#[test]
fn upstream_that_drains_by_any_signal_gets_no_requests() {
    for signal in 0..3 {
        let mut pool = Pool::new(&service(2, ""), "h");
        let home = choose(&mut pool, &query("ann", 1), at(0)).upstream;
        let leaving = &mut pool.upstream_mut(&home).expect("a known upstream").drain;
        match signal {
            0 => leaving.by_tree = true,
            1 => leaving.by_list = true,
            _ => leaving.by_report = true,
        }
        assert_ne!(choose(&mut pool, &query("ann", 1), at(10)).upstream, home);
    }
}

#[test]
fn failing_upstream_is_ejected_and_returns_with_one_request_at_a_time() {
    let mut pool = Pool::new(&service(2, ""), "h");
    let home = choose(&mut pool, &query("ann", 1), at(0)).upstream;
    pool.record_failure(&home, at(1));
    choose(&mut pool, &query("ann", 1), at(2));
    assert_eq!(pool.record_failure(&home, at(3)), Change::Ejected);
    assert_ne!(choose(&mut pool, &query("ann", 1), at(10)).upstream, home);
    let later = at(600);
    let upstream = pool.upstream_mut(&home).expect("a known upstream");
    assert!(upstream.is_available(later));
    upstream.health.note_sent();
    assert!(!upstream.is_available(later));
    assert_eq!(pool.record_success(&home), Change::Returned);
}

#[test]
fn upstream_is_tried_if_all_are_ejected() {
    let mut pool = Pool::new(&service(1, ""), "h");
    for _ in 0..3 {
        let chosen = choose(&mut pool, &query("ann", 1), at(0)).upstream;
        pool.record_failure(&chosen, at(0));
    }
}

#[test]
fn unreachable_deadline_is_rejected_at_once_with_a_retry_time() {
    let mut pool = Pool::new(&service(1, "prefill_us_per_token = 1000.0"), "h");
    let hurried = Query {
        deadline: at(100),
        ..query("ann", 1)
    };
    let rejection = pool.choose(&hurried, at(0)).expect_err("too slow");
    assert_eq!(rejection.kind, Kind::DeadlineUnreachable);
    assert!(rejection.retry_after > Duration::ZERO);
}

#[test]
fn urgent_requests_are_not_queued_behind_others() {
    let mut pool = Pool::new(&service(1, "prefill_us_per_token = 1000.0"), "h");
    for event in 0..3 {
        choose(&mut pool, &query("ann", event), at(0));
    }
    let upstream = &pool.upstreams()[0];
    assert_eq!(upstream.backlog.wait(Priority::Urgent, at(0)), Duration::ZERO);
    assert!(upstream.backlog.wait(Priority::Normal, at(0)) > Duration::from_secs(1));
}

/// Guards against retry storms when an engine fails; requests without failures earn retries for the next failure.
#[test]
fn retries_are_a_share_of_the_requests_plus_a_fixed_number() {
    let mut pool = Pool::new(&service(4, ""), "h");
    let spent = |pool: &mut Pool, now| (0..1000).take_while(|_| pool.try_spend_retry(now)).count();
    assert_eq!(spent(&mut pool, at(0)), 20);
    assert_eq!(spent(&mut pool, at(5_000)), 0);
    for number in 0..500 {
        pool.record_request(at(20_000 + number));
    }
    let percent = service(4, "").retry_percent as usize;
    assert_eq!(spent(&mut pool, at(20_500)), 20 + 500 * percent * 62 / 10_000);
    assert_eq!(spent(&mut pool, at(40_000)), 20);
}
