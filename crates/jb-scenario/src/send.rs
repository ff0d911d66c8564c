//! Groups of requests that a scenario sends.

use std::net::SocketAddr;

use jb_fakes::answer;
use jb_fakes::fleet::layout::{PLAIN, ROUTE};
use jb_fakes::load::{self, Library, Request, Seen};
use jb_protocol::priority::Priority;
use tokio::task::JoinHandle;

use crate::step::{Sending, Shape};

/// Number of tokens in the prompt prefix that all requests share, and in the
/// part that is unique to a request.
const SHARED_TOKENS: u32 = 800;
const OWN_TOKENS: u32 = 40;
/// Number of tokens in each answer.
const ANSWER_TOKENS: u32 = 20;
/// Seed of the generator of prompt texts.
const SEED: u64 = 7;

/// A named group of requests, with their results once `finish` has returned.
pub struct Group {
    /// The requests, in sending order.
    pub requests: Vec<Request>,
    /// Results as the callers saw them, in the order of `requests`; empty until
    /// the group has finished.
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

    /// Waits until all requests have ended and returns their results.
    pub async fn finish(&mut self) -> &[Seen] {
        for open in self.open.drain(..) {
            let seen = open.await;
            self.seen.push(seen.unwrap_or_else(|e| Seen::Lost(e.to_string())));
        }
        &self.seen
    }
}

/// Builds the requests of a `send` step.
pub fn requests(sending: &Sending) -> Vec<Request> {
    (0..sending.count).map(|n| request(sending, n)).collect()
}

/// Builds one request. Prompts do not depend on the customer or the group, so
/// that two customers send the same ones.
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
