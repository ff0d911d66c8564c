//! Groups of requests that a scenario sends.

use std::net::SocketAddr;

use jb_fakes::answer;
use jb_fakes::fleet::layout::{PLAIN, ROUTE};
use jb_fakes::load::{self, Library, Request, Seen};
use jb_protocol::priority::Priority;
use tokio::task::JoinHandle;

use crate::step::{Sending, Shape};

/// Tokens of a prompt's shared level, and of its own.
const SHARED_TOKENS: u32 = 800;
const OWN_TOKENS: u32 = 40;
/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 20;
/// Seed of the prompts.
const SEED: u64 = 7;

/// A group: its requests, and what became of them once awaited.
pub struct Group {
    /// The requests.
    pub requests: Vec<Request>,
    /// What callers have seen.
    pub seen: Vec<Seen>,
    open: Vec<JoinHandle<Seen>>,
}

impl Group {
    /// Sends requests to a box in the background.
    pub fn send(http: &reqwest::Client, at: SocketAddr, requests: Vec<Request>) -> Self {
        let spawn = |request: &Request| {
            let (http, request) = (http.clone(), request.clone());
            tokio::spawn(async move { load::send(&http, at, &request).await })
        };
        Self {
            open: requests.iter().map(spawn).collect(),
            requests,
            seen: Vec::new(),
        }
    }

    /// Waits until all requests have ended.
    pub async fn finish(&mut self) -> &[Seen] {
        for open in self.open.drain(..) {
            let seen = open.await;
            self.seen.push(seen.unwrap_or_else(|e| Seen::Lost(e.to_string())));
        }
        &self.seen
    }
}

/// The requests of a `send` step.
pub fn requests(sending: &Sending) -> Vec<Request> {
    (0..sending.count).map(|n| request(sending, n)).collect()
}

/// Prompts do not depend on the customer or the group, so that two customers
/// send the same ones.
fn request(sending: &Sending, n: usize) -> Request {
    let key = format!("key-{}", sending.customer);
    if sending.shape == Shape::Once {
        let body = format!("{}-{n}", sending.group);
        return Request {
            key,
            once: true,
            class: Priority::Normal,
            path: format!("/services/{PLAIN}/do"),
            expected: format!("done: {body}"),
            body,
        };
    }
    let library = Library::new(SEED);
    let levels = vec![
        library.text("shared", SHARED_TOKENS),
        library.text(&format!("own-{n}"), OWN_TOKENS),
    ];
    let stream = sending.shape == Shape::Streamed;
    Request {
        key,
        once: false,
        class: Priority::Normal,
        path: "/v1/chat/completions".to_owned(),
        body: load::chat(ROUTE, &levels, ANSWER_TOKENS, stream).to_string(),
        expected: answer::whole(&load::prompt_text(&levels), ANSWER_TOKENS),
    }
}
