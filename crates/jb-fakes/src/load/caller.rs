//! Callers that send a trace and check what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use jb_protocol::error::{Kind, Outcome};
use jb_protocol::header;
use jb_protocol::priority::Priority;
use jb_protocol::problem::{Document, MEDIA_TYPE};
use miette::IntoDiagnostic as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::trace::{Shot, What, prompt_text, role};
use super::workload::Customer;
use crate::answer;

/// Time in which a whole answer must come.
const PATIENCE: Duration = Duration::from_secs(60);
/// Times that a caller follows a refusal that says when to come back.
const RETURNS: u32 = 3;

/// What a caller has seen of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// The whole answer to the own request.
    Complete {
        /// Time to the first token; only a streamed answer shows it.
        first: Option<Duration>,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of the prompt found cached.
        cached_tokens: u64,
    },
    /// A refusal.
    Refused {
        /// Kind of error.
        kind: Kind,
        /// Whether it ran.
        outcome: Outcome,
    },
    /// Neither: a wrong answer, a part of one, or none.
    Lost(String),
}

/// Callers of a fleet.
#[derive(Clone)]
pub struct Callers {
    http: reqwest::Client,
    boxes: Vec<SocketAddr>,
    customers: Vec<Customer>,
    model: String,
    service: String,
}

impl Callers {
    /// Callers of `boxes` that ask for `model`, and for `service` where a
    /// call may run at most once.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new(
        boxes: Vec<SocketAddr>,
        customers: Vec<Customer>,
        model: &str,
        service: &str,
    ) -> miette::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(PATIENCE)
            .tcp_nodelay(true);
        Ok(Self {
            http: http.build().into_diagnostic()?,
            boxes,
            customers,
            model: model.to_owned(),
            service: service.to_owned(),
        })
    }

    /// Sends every request at its time, each to a box drawn by `seed`, and
    /// calls `progress` as each one ends.
    pub async fn run(&self, shots: &[Shot], seed: u64, progress: impl Fn(usize) + Sync) -> Vec<Seen> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = tokio::time::Instant::now();
        let mut open = Vec::with_capacity(shots.len());
        for (done, shot) in shots.iter().enumerate() {
            tokio::time::sleep_until(start + shot.at).await;
            let first = rng.random_range(0..self.boxes.len());
            let callers = self.clone();
            let shot = Arc::new(shot.clone());
            open.push(tokio::spawn(async move { callers.call(&shot, first).await }));
            progress(done + 1);
        }
        let mut seen = Vec::with_capacity(open.len());
        for call in open {
            seen.push(call.await.unwrap_or_else(|e| Seen::Lost(e.to_string())));
        }
        seen
    }

    /// Sends one request, and again to the next box when the refusal says
    /// that it did not run and another box may take it.
    pub async fn call(&self, shot: &Shot, first: usize) -> Seen {
        let mut seen = Seen::Lost("not sent".to_owned());
        for turn in 0..=RETURNS as usize {
            let at = self.boxes[(first + turn) % self.boxes.len()];
            seen = send(&self.http, at, &self.request(shot)).await;
            let again = matches!(
                seen,
                Seen::Refused {
                    kind: Kind::Stopping | Kind::NoUpstream | Kind::HallUnreachable | Kind::UpstreamRefused,
                    outcome: Outcome::NotRun
                }
            );
            if !again {
                return seen;
            }
        }
        seen
    }

    fn request(&self, shot: &Shot) -> Request {
        let (path, body, expected) = match &shot.what {
            What::Chat {
                levels,
                max_tokens,
                stream,
            } => {
                let body = chat(&self.model, levels, *max_tokens, *stream);
                let expected = answer::whole(&prompt_text(levels), *max_tokens);
                ("/v1/chat/completions".to_owned(), body.to_string(), expected)
            }
            What::Once { body } => {
                let path = format!("/services/{}/do", self.service);
                (path, body.clone(), format!("done: {body}"))
            }
        };
        Request {
            key: self.customers[shot.customer].key.clone(),
            once: matches!(shot.what, What::Once { .. }),
            class: shot.class,
            path,
            body,
            expected,
        }
    }
}

/// The body of a chat completion.
pub fn chat(model: &str, levels: &[String], max_tokens: u32, stream: bool) -> Value {
    let message =
        |(level, text): (usize, &String)| json!({"role": role(level, levels.len()), "content": text});
    let messages: Vec<Value> = levels.iter().enumerate().map(message).collect();
    json!({"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream})
}

/// A request as it goes over the wire, with the answer that it must get.
#[derive(Clone, Debug)]
pub struct Request {
    /// Bearer key.
    pub key: String,
    /// Whether it may run at most once; the body is its key then.
    pub once: bool,
    /// Priority class.
    pub class: Priority,
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
    /// Whole text of the right answer.
    pub expected: String,
}

/// Sends one request to one box and checks its answer.
pub async fn send(http: &reqwest::Client, at: SocketAddr, request: &Request) -> Seen {
    let class = match request.class {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Bulk => "bulk",
    };
    let mut builder = http
        .post(format!("http://{at}{}", request.path))
        .bearer_auth(&request.key)
        .header(header::PRIORITY, class)
        .header("content-type", "application/json")
        .body(request.body.clone());
    if request.once {
        builder = builder
            .header(header::REPEAT, header::REPEAT_NEVER)
            .header(header::IDEMPOTENCY_KEY, &request.body);
    }
    let started = Instant::now();
    let answer = match builder.send().await {
        Ok(answer) => answer,
        Err(error) => return Seen::Lost(error.without_url().to_string()),
    };
    let media = answer.headers().get("content-type").and_then(|v| v.to_str().ok());
    match media {
        Some(MEDIA_TYPE) => refused(answer).await,
        Some("text/event-stream") => streamed(answer, started, &request.expected).await,
        _ => whole(answer, &request.expected).await,
    }
}

async fn refused(answer: reqwest::Response) -> Seen {
    match answer.json::<Document>().await {
        Ok(document) => Seen::Refused {
            kind: document.kind,
            outcome: document.outcome,
        },
        Err(error) => Seen::Lost(error.without_url().to_string()),
    }
}

async fn whole(answer: reqwest::Response, expected: &str) -> Seen {
    let text = match answer.text().await {
        Ok(text) => text,
        Err(error) => return Seen::Lost(error.without_url().to_string()),
    };
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let content = value["choices"][0]["message"]["content"].as_str();
    if content.unwrap_or(&text) != expected {
        return Seen::Lost("the answer is not that of the request".to_owned());
    }
    complete(None, &value)
}

fn complete(first: Option<Duration>, value: &Value) -> Seen {
    let usage = &value["usage"];
    Seen::Complete {
        first,
        prompt_tokens: usage["prompt_tokens"].as_u64().unwrap_or(0),
        cached_tokens: usage["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap_or(0),
    }
}

async fn streamed(answer: reqwest::Response, started: Instant, expected: &str) -> Seen {
    let mut bytes = answer.bytes_stream();
    let mut buffer = Vec::new();
    let mut text = String::new();
    let mut first = None;
    let mut last = Value::Null;
    while let Some(chunk) = bytes.next().await {
        let Ok(chunk) = chunk else {
            return Seen::Lost("the stream broke off".to_owned());
        };
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).trim().to_owned();
            if let Some(problem) = event.strip_prefix("event: error\ndata: ") {
                return problem_of(problem);
            }
            let data = event.strip_prefix("data: ").unwrap_or_default();
            if data == "[DONE]" {
                return if text == expected {
                    complete(first, &last)
                } else {
                    Seen::Lost("the stream is not that of the request".to_owned())
                };
            }
            last = serde_json::from_str(data).unwrap_or(Value::Null);
            first.get_or_insert_with(|| started.elapsed());
            text.push_str(
                last["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
        }
    }
    Seen::Lost("the stream stopped without an end".to_owned())
}

fn problem_of(text: &str) -> Seen {
    match serde_json::from_str::<Document>(text) {
        Ok(document) => Seen::Refused {
            kind: document.kind,
            outcome: document.outcome,
        },
        Err(error) => Seen::Lost(error.to_string()),
    }
}
