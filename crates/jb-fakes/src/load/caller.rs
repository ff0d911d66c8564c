//! Callers that replay a trace and check the responses.

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

/// Timeout of one request, including its whole response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of retries after retryable refusals.
const MAX_RETRIES: u32 = 3;

/// Result of one request as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// The complete and correct response.
    Complete {
        /// Time to the first token; `None` for responses that are not streamed.
        first: Option<Duration>,
        /// Number of tokens in the prompt.
        prompt_tokens: u64,
        /// Number of prompt tokens found cached.
        cached_tokens: u64,
    },
    /// An error document, as a response or as an event of a stream.
    Refused {
        /// Kind of the error.
        kind: Kind,
        /// Whether the request was run.
        outcome: Outcome,
    },
    /// A wrong, incomplete or missing response, with the reason.
    Lost(String),
}

/// Simulated callers of a fleet.
#[derive(Clone)]
pub struct Callers {
    http: reqwest::Client,
    boxes: Vec<SocketAddr>,
    customers: Vec<Customer>,
    model: String,
    service: String,
}

impl Callers {
    /// Creates callers of `boxes` that send chats to `model` and at-most-once
    /// calls to `service`.
    ///
    /// # Errors
    /// Returns an error when the HTTP client cannot be built.
    pub fn new(
        boxes: Vec<SocketAddr>,
        customers: Vec<Customer>,
        model: &str,
        service: &str,
    ) -> miette::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .tcp_nodelay(true);
        Ok(Self {
            http: http.build().into_diagnostic()?,
            boxes,
            customers,
            model: model.to_owned(),
            service: service.to_owned(),
        })
    }

    /// Sends every request at its scheduled time to a box drawn with `seed`, and
    /// calls `progress` with the number of requests sent so far.
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

    /// Sends one request; retries at the next box when the request was refused
    /// without being run and another box may accept it.
    pub async fn call(&self, shot: &Shot, first: usize) -> Seen {
        let mut seen = Seen::Lost("not sent".to_owned());
        for retry in 0..=MAX_RETRIES as usize {
            let at = self.boxes[(first + retry) % self.boxes.len()];
            seen = send(&self.http, at, &self.request(shot)).await;
            let retryable = matches!(
                seen,
                Seen::Refused {
                    kind: Kind::Stopping | Kind::NoUpstream | Kind::HallUnreachable | Kind::UpstreamRefused,
                    outcome: Outcome::NotRun
                }
            );
            if !retryable {
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

/// Returns the JSON body of a chat completion request.
pub fn chat(model: &str, levels: &[String], max_tokens: u32, stream: bool) -> Value {
    let message =
        |(level, text): (usize, &String)| json!({"role": role(level, levels.len()), "content": text});
    let messages: Vec<Value> = levels.iter().enumerate().map(message).collect();
    json!({"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream})
}

/// HTTP request with its expected response.
#[derive(Clone, Debug)]
pub struct Request {
    /// Bearer token of the customer.
    pub key: String,
    /// Whether the request may run at most once; its body is then the idempotency key.
    pub once: bool,
    /// Priority class of the request.
    pub class: Priority,
    /// URL path.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Text of the correct response.
    pub expected: String,
}

/// Sends one request to one box and checks the response.
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
        return Seen::Lost("response text differs from the expected text".to_owned());
    }
    if content.is_some() {
        return completion(None, &value);
    }
    // A response of a plain service is text without token counts.
    Seen::Complete {
        first: None,
        prompt_tokens: 0,
        cached_tokens: 0,
    }
}

/// Returns the result of a completion with the expected text, whose end is its finish reason and its token counts.
fn completion(first: Option<Duration>, last: &Value) -> Seen {
    let usage = &last["usage"];
    let prompt_tokens = usage["prompt_tokens"].as_u64();
    let cached_tokens = usage["prompt_tokens_details"]["cached_tokens"].as_u64();
    let is_finished = last["choices"][0]["finish_reason"].is_string();
    match (prompt_tokens, cached_tokens) {
        (Some(prompt_tokens), Some(cached_tokens)) if is_finished => Seen::Complete {
            first,
            prompt_tokens,
            cached_tokens,
        },
        _ => Seen::Lost("completion without its finish reason or token counts".to_owned()),
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
            return Seen::Lost("connection failed during the stream".to_owned());
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
                    completion(first, &last)
                } else {
                    Seen::Lost("streamed text differs from the expected text".to_owned())
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
    Seen::Lost("stream ended without [DONE]".to_owned())
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
