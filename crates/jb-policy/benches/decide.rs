//! Cost of the policy decisions at a present fleet size and at the largest one supported.

#![allow(missing_docs, clippy::expect_used)]

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use jb_policy::customer_limit::Limits;
use jb_policy::idempotency::{Claim, Shard};
use jb_policy::member::{Member, Members};
use jb_policy::prefix::{Chain, Scope};
use jb_policy::route::{Pool, Query};
use jb_policy::stream::Start;
use jb_protocol::engine::Load;
use jb_protocol::priority::Priority;
use jb_tree::document;
use jb_tree::key::Digest;
use jb_tree::view::{Service, View};

/// Engines of a data hall at present, and at the largest supported size.
const ENGINES: [usize; 2] = [9, 860];
const CUSTOMERS: usize = 550;
/// Boxes of one data hall, and of all halls, at the largest supported size.
const MEMBERS: [usize; 2] = [76, 380];

fn service(engines: usize) -> Service {
    let mut text = "[\"/services/s\"]\nmodel = \"m\"\nweights = \"w1\"\n".to_owned();
    for n in 0..engines {
        write!(
            text,
            "[\"/services/s/e{n}\"]\naddress = \"127.0.0.1:{}\"\nhall = \"h\"\n",
            1000 + n
        )
        .expect("a string");
    }
    let tree = document::read("bench", &text).expect("a tree");
    View::compile(&tree, 1).services["s"].clone()
}

fn query(n: usize) -> Query {
    let customer = format!("c{}", n % CUSTOMERS);
    let scope = Scope {
        customer: &customer,
        model: "m",
        weights: "w1",
    };
    let levels = [
        "style ".repeat(1300),
        format!("template {} ", n % 4).repeat(300),
        format!("event {n} ").repeat(150),
    ];
    Query {
        chain: Chain::new(&scope, &[levels.as_slice(), &["now".to_owned()]].concat()),
        class: Priority::Normal,
        deadline: Duration::from_secs(3600),
        tried: Vec::new(),
    }
}

fn choice(criterion: &mut Criterion) {
    let queries: Vec<Query> = (0..1000).map(query).collect();
    for engines in ENGINES {
        let mut pool = Pool::new(&service(engines), "h");
        let mut n = 0_u64;
        criterion.bench_function(&format!("choice/{engines}_engines"), |bencher| {
            bencher.iter(|| {
                n += 1;
                let query = &queries[n as usize % queries.len()];
                let chosen = pool
                    .choose(black_box(query), Duration::from_secs(n))
                    .expect("an upstream");
                pool.record_abandonment(&chosen.upstream);
            });
        });
    }
}

fn response_start(criterion: &mut Criterion) {
    let queries: Vec<Query> = (0..1000).map(query).collect();
    let mut pool = Pool::new(&service(9), "h");
    let start = Start {
        incarnation: 1,
        prompt_tokens: 3500,
        cached_tokens: 3000,
        load: Load::default(),
    };
    let mut n = 0_u64;
    criterion.bench_function("answer/learn_whole_prompt", |bencher| {
        bencher.iter(|| {
            n += 1;
            let query = &queries[n as usize % queries.len()];
            pool.record_start("s/e1", black_box(&query.chain), &start, Duration::from_secs(n));
        });
    });
}

fn hash(criterion: &mut Criterion) {
    criterion.bench_function("prefix/hash_14_kB", |bencher| {
        bencher.iter(|| query(black_box(7)))
    });
}

fn admission(criterion: &mut Criterion) {
    let mut text = String::new();
    for n in 0..CUSTOMERS {
        let key = Digest::of(&n.to_string());
        write!(text, "[\"/customers/c{n}\"]\nkeys = [\"{key}\"]\n").expect("a string");
    }
    let view = View::compile(&document::read("bench", &text).expect("a tree"), 1);
    let customers: Vec<_> = view.customers.values().cloned().collect();
    let mut limits = Limits::default();
    let mut n = 0_u64;
    criterion.bench_function("admission/550_customers", |bencher| {
        bencher.iter(|| {
            n += 1;
            let customer = &customers[n as usize % customers.len()];
            let admitted = limits.admit(black_box(customer), 76, 10, Duration::from_secs(n));
            limits.release(&customer.id);
            admitted
        });
    });
}

fn membership(criterion: &mut Criterion) {
    for count in MEMBERS {
        let member = |n: usize, heartbeat| Member {
            id: format!("box-{n}"),
            hall: "h".to_owned(),
            heartbeat,
            ..Member::default()
        };
        let mut members = Members::new(member(0, 1));
        for n in 1..count {
            members.merge(member(n, 1), Duration::ZERO);
        }
        let mut n = 0_u64;
        criterion.bench_function(&format!("membership/tick_of_{count}"), |bencher| {
            bencher.iter(|| {
                n += 1;
                let now = Duration::from_secs(n / 1000);
                members.advance_heartbeat(1, false);
                members.merge(member(n as usize % count, n), now);
                (members.next_probes(now), members.next_updates())
            });
        });
    }
}

fn claims(criterion: &mut Criterion) {
    let mut shard = Shard::default();
    for n in 0..2000_u64 {
        let claim = Claim {
            key: u128::from(n),
            owner: n,
        };
        shard = shard.plan(&[claim], 1).write.expect("a new entry");
    }
    let claims: Vec<Claim> = (0..32_u64)
        .map(|n| Claim {
            key: u128::from(n + 10_000),
            owner: n,
        })
        .collect();
    criterion.bench_function("claims/batch_of_32_into_2000", |bencher| {
        bencher.iter(|| shard.plan(black_box(&claims), 2).write.map(|s| s.encode()));
    });
}

criterion_group!(
    benches,
    choice,
    response_start,
    hash,
    admission,
    membership,
    claims
);
criterion_main!(benches);
