//! Malformed and hostile input from callers and other boxes: each gets a defined
//! answer, and the box keeps serving.

#![allow(clippy::expect_used)]

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use jb_fakes::control::{EngineCounts, EngineFault};
use jb_fakes::fleet::layout::{self, Hall, Layout, ROUTE, TreeOptions};
use jb_fakes::fleet::{self, Rig, wait_until};
use jb_fakes::load::chat;
use jb_wire::peer::ProbeRequest;
use jb_wire::peer::peer_client::PeerClient;
use serde_json::{Value, json};

const KEY: &str = "key-ann";

/// A request and the expected response.
struct Case {
    name: &'static str,
    path: &'static str,
    key: &'static str,
    header: Option<(&'static str, &'static str)>,
    body: Vec<u8>,
    status: u16,
    kind: &'static str,
}

fn case(name: &'static str, status: u16, kind: &'static str) -> Case {
    Case {
        name,
        path: "/v1/chat/completions",
        key: KEY,
        header: None,
        body: good_body(),
        status,
        kind,
    }
}

fn good_body() -> Vec<u8> {
    chat(ROUTE, &["style".to_owned(), "now".to_owned()], 2, false)
        .to_string()
        .into_bytes()
}

fn cases() -> Vec<Case> {
    let with = |body: Value| body.to_string().into_bytes();
    vec![
        Case {
            body: b"{\"model\": ".to_vec(),
            ..case("cut JSON", 400, "malformed")
        },
        Case {
            body: vec![0xff; 100],
            ..case("bytes", 400, "malformed")
        },
        Case {
            body: with(json!({"model": ROUTE, "messages": []})),
            ..case("no prompt", 400, "malformed")
        },
        Case {
            body: with(
                json!({"model": ROUTE, "messages": [{"role": "user", "content": "x"}], "max_tokens": 0}),
            ),
            ..case("no tokens", 400, "malformed")
        },
        Case {
            body: with(json!({"model": "other", "messages": [{"role": "user", "content": "x"}]})),
            ..case("unknown model", 404, "unknown_model")
        },
        Case {
            body: vec![b'x'; 2 << 20],
            ..case("long body", 413, "body_too_large")
        },
        Case {
            key: "key-nobody",
            ..case("wrong key", 401, "unauthenticated")
        },
        Case {
            path: "/v1/nothing",
            ..case("unknown path", 404, "unknown_path")
        },
        Case {
            path: "/services/nowhere/do",
            ..case("unknown service", 404, "unknown_path")
        },
        Case {
            header: Some(("x-priority", "highest")),
            ..case("bad priority", 400, "malformed")
        },
        Case {
            header: Some(("x-deadline-ms", "-1")),
            ..case("bad deadline", 400, "malformed")
        },
        Case {
            header: Some(("x-repeat", "maybe")),
            ..case("bad mark", 400, "malformed")
        },
        Case {
            header: Some(("x-deadline-ms", "0")),
            ..case("no time", 503, "deadline_unreachable")
        },
    ]
}

async fn fleet() -> Rig {
    let programs = fleet::build().expect("the programs build");
    let layout = Layout {
        halls: vec![Hall {
            name: "hall-a".to_owned(),
            boxes: 1,
            engines: 1,
            plain: 0,
        }],
        ..Layout::default()
    };
    let options = TreeOptions::with_customers(&["ann"]);
    layout::start(&programs, &layout, &options)
        .await
        .expect("the fleet starts")
}

async fn check(http: &reqwest::Client, at: SocketAddr, case: &Case) {
    let mut request = http
        .post(format!("http://{at}{}", case.path))
        .bearer_auth(case.key)
        .body(case.body.clone());
    if let Some((name, value)) = case.header {
        request = request.header(name, value);
    }
    let answer = request
        .send()
        .await
        .unwrap_or_else(|e| panic!("{}: {e}", case.name));
    assert_eq!(answer.status().as_u16(), case.status, "{}", case.name);
    if case.status == 413 {
        // The rest of the body is never read, so a caller that reused the connection would lose its
        // next request.
        let connection = answer.headers().get("connection");
        assert_eq!(
            connection.map(|value| value.as_bytes()),
            Some(&b"close"[..]),
            "{}",
            case.name
        );
    }
    let document: Value = answer
        .json()
        .await
        .unwrap_or_else(|e| panic!("{}: {e}", case.name));
    assert_eq!(document["kind"], case.kind, "{}", case.name);
    assert_eq!(document["outcome"], "not_run", "{}", case.name);
}

/// Callers that send half a request and disconnect, and callers that do not speak HTTP.
fn broken_callers(at: SocketAddr) {
    for bytes in [
        &b"POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 99\r\n\r\n{"[..],
        b"\x16\x03\x01\x00",
    ] {
        let mut stream = TcpStream::connect(at).expect("the box listens");
        stream.write_all(bytes).expect("it reads");
        drop(stream);
    }
    let mut stream = TcpStream::connect(at).expect("the box listens");
    stream.write_all(b"NONSENSE\r\n\r\n").expect("it reads");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let mut answer = String::new();
    // The box may answer or just close; either way the connection ends.
    let _ = stream.read_to_string(&mut answer);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
}

/// A caller that disconnects in the middle of its stream; the call at the engine must be cancelled.
async fn vanishing_caller(rig: &Rig, at: SocketAddr) {
    let engine = rig.upstream("hall-a-engine-1").expect("an engine");
    let slow = EngineFault {
        decode_ms: Some(200),
        ..EngineFault::default()
    };
    rig.client.fault(engine, &slow).await.expect("a fault");
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let body = chat(ROUTE, &["style".to_owned(), "later".to_owned()], 500, true);
    let request = http
        .post(format!("http://{at}/v1/chat/completions"))
        .bearer_auth(KEY);
    let mut answer = request.body(body.to_string()).send().await.expect("a stream");
    answer.chunk().await.expect("a chunk").expect("a token");
    drop(answer);
    drop(http);
    let cancelled = wait_until(
        "the engine's call is cancelled",
        Duration::from_secs(30),
        || async {
            let counts: miette::Result<EngineCounts> = rig.client.counts(engine).await;
            counts.is_ok_and(|c| c.cancelled == 1 && c.open == 0)
        },
    );
    cancelled.await.expect("it is cancelled");
    let logged = || {
        !rig.process("hall-a-box-1")
            .expect("a box")
            .lines_with("\"caller_gone\"")
            .is_empty()
    };
    let told = wait_until("the box logs it", Duration::from_secs(30), || async { logged() });
    told.await.expect("it is logged");
    let quick = EngineFault {
        decode_ms: Some(1),
        ..EngineFault::default()
    };
    rig.client.fault(engine, &quick).await.expect("a fault");
}

/// Peers without the shared secret, and peers with another protocol version; both must be refused.
async fn broken_peers(at: SocketAddr) {
    let mut client = PeerClient::connect(format!("http://{at}"))
        .await
        .expect("the box listens");
    let unknown = client
        .probe(ProbeRequest::default())
        .await
        .expect_err("no secret");
    assert_eq!(unknown.message(), "unknown sender");
    let mut old = tonic::Request::new(ProbeRequest {
        version: 99,
        ..ProbeRequest::default()
    });
    old.metadata_mut()
        .insert("x-peer-secret", "loopback".parse().expect("a header"));
    let refused = client.probe(old).await.expect_err("another version");
    assert!(refused.message().contains("version"), "{refused}");
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_input_gets_a_defined_answer_and_the_box_goes_on() {
    let rig = fleet().await;
    let ports = rig.box_ports("hall-a-box-1").expect("a box");
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    for case in cases() {
        check(&http, ports.callers, &case).await;
    }
    broken_callers(ports.callers);
    broken_peers(ports.peers).await;
    vanishing_caller(&rig, ports.callers).await;
    let good = http.post(format!("http://{}/v1/chat/completions", ports.callers));
    let answer = good
        .bearer_auth(KEY)
        .body(good_body())
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 200);
    let list = http
        .get(format!("http://{}/v1/models", ports.callers))
        .bearer_auth(KEY)
        .send()
        .await;
    let list: Value = list.expect("an answer").json().await.expect("JSON");
    assert_eq!(list["data"][0]["id"], ROUTE);
    let metrics = rig.client.text(ports.callers, "/metrics").await.expect("metrics");
    assert!(
        metrics.contains("junctionbend_requests_refused_total{kind=\"malformed\"}"),
        "{metrics}"
    );
}
