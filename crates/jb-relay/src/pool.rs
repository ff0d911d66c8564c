//! Connection pool of each upstream. A connection carries one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::uplink::Failure;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::core::{Core, Shared};
use crate::http::Connection;
use crate::uplink;
use crate::upstream::Instance;

/// Connect timeout: several round trips inside a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a connection is not reused, unless the upstream states a shorter one.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// The same for requests that may be executed only once: on a connection that the upstream has just closed, it
/// would be unknown whether the request was executed.
const MAX_IDLE_TIME_ONCE: Duration = Duration::from_secs(3);
/// Part of the idle timeout stated by an upstream for which a connection is reused.
const IDLE_SHARE: f64 = 0.7;
/// Upper bound on idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// A connection without a request.
#[derive(Debug)]
pub struct IdleConnection {
    connection: Connection,
    /// When its last request ended.
    pub idle_since: Moment,
    max_idle: Duration,
}

impl IdleConnection {
    /// Returns whether a request can be sent on the connection now.
    fn is_usable(&mut self, now: Moment) -> bool {
        now.saturating_sub(self.idle_since) <= self.max_idle && self.connection.is_reusable()
    }
}

/// A connection that carries a request.
pub struct PooledConnection {
    /// HTTP connection.
    pub connection: Connection,
    /// Upstream that it leads to.
    pub upstream: Instance,
    /// Whether it has carried a request before.
    pub used: bool,
}

/// Why a connection couldn't be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The upstream is no longer registered.
    #[error("the upstream is no longer registered")]
    Gone,
    /// The connection failed, for example because it was refused.
    #[error("connection failed: {0}")]
    Refused(std::io::Error),
    /// The connection was not established in this time.
    #[error("connection timed out after {0:?}")]
    TimedOut(Duration),
}

impl Error {
    /// Returns whether the connection was refused at once, so that nothing can have been sent and hardly any time was lost.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused(why) if why.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// Returns an idle connection, or opens a new one. `once` restricts the reuse for requests that may be executed
/// only once.
///
/// # Errors
/// If no connection can be opened; nothing has been sent in that case.
pub async fn checkout(core: &Shared, upstream: &Instance, once: bool) -> Result<PooledConnection, Error> {
    if let Some(connection) = take_idle(core, upstream, once) {
        return Ok(PooledConnection {
            connection,
            upstream: upstream.clone(),
            used: true,
        });
    }
    open(core, upstream, CONNECT_TIMEOUT).await
}

/// Opens a connection within a timeout.
///
/// # Errors
/// As [`checkout`].
pub async fn open(core: &Shared, upstream: &Instance, time: Duration) -> Result<PooledConnection, Error> {
    let (address, service) = core
        .upstreams
        .borrow()
        .instance(upstream)
        .map(|u| (u.entry.address, u.entry.service.clone()))
        .ok_or(Error::Gone)?;
    let connected = match timeout(time, connect(address)).await {
        Ok(stream) => stream.map_err(Error::Refused),
        Err(_) => Err(Error::TimedOut(time)),
    };
    let stream = match connected {
        Ok(stream) => stream,
        Err(why) => {
            core.upstreams
                .borrow_mut()
                .note_connect_failure(upstream, core.now());
            core.connect_failed.notify_one();
            uplink::note_failure(core, &service, Failure::Connect);
            return Err(why);
        }
    };
    core.upstreams.borrow_mut().note_connected(upstream);
    uplink::note_connected(core, &service);
    core.metrics.connections_opened.inc();
    Ok(PooledConnection {
        connection: Connection::new(stream),
        upstream: upstream.clone(),
        used: false,
    })
}

/// Time without an acknowledgement after which the operating system closes a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Connects with the socket options of all connections that a box opens, to upstreams and to the store.
///
/// Data of an abandoned call must not arrive later. After an orderly close the operating system still delivers
/// written data, after a network partition even seconds later, so that an upstream would execute a request, or
/// the store a write, that nobody waits for. Closing therefore resets the connection, which drops unsent data. A
/// connection whose last response was read completely loses nothing by a reset.
///
/// # Errors
/// What the operating system reports.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_nodelay(true)?;
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    options.set_linger(Some(Duration::ZERO))?;
    socket.connect(address).await
}

/// Connect timeout of a probe that only shows whether an upstream has crashed; a retried request waits for it. A
/// round trip inside a region takes 2 to 10 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which the operating system closes all sockets of a process that has ended, its listener perhaps last.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(25);
/// Upper bound on other upstreams that are probed to check the path to a data hall. Several may have crashed as well.
const MAX_WITNESSES: usize = 6;

/// What a check of an upstream found after a connection to it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It has crashed.
    Crashed,
    /// It accepts connections.
    Running,
    /// It is draining, and expected to end.
    Draining,
    /// It may have crashed, or be partitioned from this box.
    Unknown,
}

impl Liveness {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Running => "running",
            Self::Draining => "draining",
            Self::Unknown => "unknown",
        }
    }
}

/// Checks whether an upstream has crashed while it executed a request. A lost connection alone doesn't show it: a
/// running upstream accepts a new connection, which is kept for the next request. As a partition of the data hall may
/// also refuse connections, another upstream there has to accept one.
pub async fn check_liveness(core: &Shared, upstream: &Instance) -> Liveness {
    if let Some(known) = core.upstreams.borrow().instance(upstream) {
        if known.entry.draining {
            return Liveness::Draining;
        }
        if core.now() < known.down_until {
            return Liveness::Crashed;
        }
    }
    match refuses(core, upstream).await {
        Some(true) => {}
        Some(false) => return Liveness::Running,
        None => return Liveness::Unknown,
    }
    if !is_hall_connectable(core, upstream).await {
        return Liveness::Unknown;
    }
    // A partition that ended between the two probes looked like a crash.
    if refuses(core, upstream).await != Some(true) {
        return Liveness::Unknown;
    }
    if let Some(known) = core.upstreams.borrow_mut().instance_mut(upstream) {
        known.mark_down(core.now());
    }
    Liveness::Crashed
}

/// Returns whether an upstream still accepts connections at an address, a moment after it has closed one. One that is draining,
/// or whose entry has been removed, serves on until it ends.
pub async fn lives_on(core: &Shared, upstream: Option<&Instance>, address: SocketAddr) -> bool {
    sleep(LISTENER_CLOSE_TIME).await;
    let probed = match upstream {
        Some(upstream) => probe(core, upstream).await,
        None => Err(Error::Gone),
    };
    match probed {
        Ok(()) => true,
        Err(Error::Gone) => matches!(timeout(PROBE_TIMEOUT, connect(address)).await, Ok(Ok(_))),
        Err(Error::Refused(_) | Error::TimedOut(_)) => false,
    }
}

/// Returns whether an upstream refuses connections; `None` if it neither accepts nor refuses one.
async fn refuses(core: &Shared, upstream: &Instance) -> Option<bool> {
    match probe(core, upstream).await {
        Ok(()) => Some(false),
        Err(why) if why.is_refusal() => Some(true),
        Err(_) => None,
    }
}

/// Checks that an upstream accepts a connection, and keeps the connection for the next request.
async fn probe(core: &Shared, upstream: &Instance) -> Result<(), Error> {
    let pooled = open(core, upstream, PROBE_TIMEOUT).await?;
    put_back(core, pooled.connection, &pooled.upstream, None);
    Ok(())
}

/// Returns whether another upstream in the same data hall accepts a connection; true if there is no other one.
async fn is_hall_connectable(core: &Shared, upstream: &Instance) -> bool {
    let witnesses = core
        .upstreams
        .borrow()
        .healthy_in_hall(upstream, MAX_WITNESSES, core.now());
    for witness in &witnesses {
        if probe(core, witness).await.is_ok() {
            return true;
        }
    }
    witnesses.is_empty()
}

fn take_idle(core: &Shared, upstream: &Instance, once: bool) -> Option<Connection> {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let pool = &mut upstreams.instance_mut(upstream)?.idle;
    while let Some(mut idle) = pool.pop() {
        let max_idle = if once {
            idle.max_idle.min(MAX_IDLE_TIME_ONCE)
        } else {
            idle.max_idle
        };
        if now.saturating_sub(idle.idle_since) > max_idle {
            if once && now.saturating_sub(idle.idle_since) <= idle.max_idle {
                // The connection is still usable for a retryable request.
                pool.push(idle);
                return None;
            }
            continue;
        }
        if idle.connection.is_reusable() {
            return Some(idle.connection);
        }
    }
    None
}

/// Keeps a connection for the next request. `max_idle` is the idle timeout that the upstream states.
pub fn put_back(core: &Shared, connection: Connection, upstream: &Instance, max_idle: Option<Duration>) {
    if !connection.buffer.is_empty() {
        // Data after a complete response belongs to no request.
        return;
    }
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(known) = upstreams.instance_mut(upstream) else {
        return;
    };
    if known.idle.len() >= MAX_IDLE_CONNECTIONS {
        return;
    }
    let max_idle = max_idle.map_or(MAX_IDLE_TIME, |named| {
        named.mul_f64(IDLE_SHARE).min(MAX_IDLE_TIME)
    });
    known.idle.push(IdleConnection {
        connection,
        idle_since: core.now(),
        max_idle,
    });
}

/// Returns whether an upstream of a service that can receive a request has an open idle connection. Drops those that have
/// ended.
pub fn has_usable_connection(core: &Core, service: &str) -> bool {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let of_service = upstreams
        .values_mut()
        .filter(|upstream| upstream.entry.service == service);
    of_service
        .filter(|upstream| upstream.is_available(now))
        .any(|upstream| {
            upstream.idle.retain_mut(|idle| idle.is_usable(now));
            !upstream.idle.is_empty()
        })
}

/// Closes connections that have been idle for too long.
pub fn close_expired(core: &Shared) {
    let now = core.now();
    for upstream in core.upstreams.borrow_mut().values_mut() {
        upstream
            .idle
            .retain(|idle| now.saturating_sub(idle.idle_since) <= idle.max_idle);
    }
}
