//! Connections to upstreams: one request at a time, reused for the next one.

use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::core::Shared;
use crate::http::Connection;
use crate::upstream::Instance;

/// Time for a connection to come up: several round trips inside a region.
const CONNECT: Duration = Duration::from_millis(300);
/// Rest after which an idle connection is not used again, unless the upstream names less.
pub const LONGEST_IDLE: Duration = Duration::from_secs(8);
/// The same for requests that run at most once: a connection that the upstream
/// has just closed would leave it open whether they ran.
const LONGEST_IDLE_ONCE: Duration = Duration::from_secs(3);
/// Share of the rest that an upstream names which is used.
const IDLE_SHARE: f64 = 0.7;
/// Idle connections to one upstream.
const MOST_IDLE: usize = 24;

/// An idle connection.
#[derive(Debug)]
pub struct Idle {
    connection: Connection,
    /// Since when it rests.
    pub since: Moment,
    rest: Duration,
}

/// A connection in use; it counts as open until dropped.
pub struct Link {
    /// The connection.
    pub connection: Connection,
    /// Upstream.
    pub upstream: Instance,
    /// Whether it has served a request before.
    pub used: bool,
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The upstream is no longer known.
    #[error("the upstream has gone")]
    Gone,
    /// It accepts no connection.
    #[error("no connection: {0}")]
    Refused(std::io::Error),
    /// It gives no word.
    #[error("no connection within {0:?}")]
    Silent(Duration),
}

/// An idle connection, or a new one.
///
/// # Errors
/// When none comes up; nothing has been sent then.
pub async fn take(core: &Shared, upstream: &Instance, once: bool) -> Result<Link, Error> {
    if let Some(connection) = idle(core, upstream, once) {
        return Ok(Link {
            connection,
            upstream: upstream.clone(),
            used: true,
        });
    }
    open(core, upstream, CONNECT).await
}

/// A new connection, if it comes up in time.
async fn open(core: &Shared, upstream: &Instance, time: Duration) -> Result<Link, Error> {
    let address = core
        .upstreams
        .borrow()
        .instance(upstream)
        .map(|u| u.entry.address)
        .ok_or(Error::Gone)?;
    let stream = match timeout(time, connect(address)).await {
        Ok(stream) => stream.map_err(Error::Refused)?,
        Err(_) => return Err(Error::Silent(time)),
    };
    core.metrics.connections_opened.inc();
    Ok(Link {
        connection: Connection::new(stream),
        upstream: upstream.clone(),
        used: false,
    })
}

/// Time without an acknowledgement after which the system gives a connection up.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// Connects with the options that every connection has which a box opens, to an upstream or to the
/// store.
///
/// What is given up must not arrive any more: a closed connection still delivers what was written
/// to it, behind a cut seconds later, to an upstream that then runs a request for nobody or to a
/// store that does a write nobody waits for. So closing is a reset, which drops what is held up. A
/// connection whose last answer was read to its end loses nothing by it.
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
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    options.set_linger(Some(Duration::ZERO))?;
    socket.connect(address).await
}

/// Time for a connection that only shows whether an upstream has ended; a request that is sent
/// again waits for it. A round trip inside a region takes 2 to 10 ms.
const PROBE: Duration = Duration::from_millis(50);
/// Upstreams of its data hall that are asked at the most for whether the path there is well.
const WITNESSES: usize = 2;

/// Whether an upstream has ended with a request in hand, which a connection that was lost does not
/// show: one that lives takes another connection, which is kept for the next request. A cut of its
/// data hall may refuse connections as well, so another upstream there has to take one. An upstream
/// that leaves ends as planned.
pub async fn has_ended(core: &Shared, upstream: &Instance) -> bool {
    if let Some(known) = core.upstreams.borrow().instance(upstream) {
        if known.entry.draining {
            return false;
        }
        if core.now() < known.down_until {
            return true;
        }
    }
    let refuses = match probe(core, upstream).await {
        Err(Error::Refused(why)) => why.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if !refuses || !is_path_well(core, upstream).await {
        return false;
    }
    if let Some(known) = core.upstreams.borrow_mut().instance_mut(upstream) {
        known.mark_down(core.now());
    }
    true
}

/// Opens a connection to see whether it comes up, and keeps it for the next request.
async fn probe(core: &Shared, upstream: &Instance) -> Result<(), Error> {
    let link = open(core, upstream, PROBE).await?;
    give(core, link, None);
    Ok(())
}

/// Whether connections to the data hall of an upstream come up. Where there is no other upstream,
/// nothing speaks against it.
async fn is_path_well(core: &Shared, upstream: &Instance) -> bool {
    let witnesses = core
        .upstreams
        .borrow()
        .healthy_in_hall(upstream, WITNESSES, core.now());
    for witness in &witnesses {
        if probe(core, witness).await.is_ok() {
            return true;
        }
    }
    witnesses.is_empty()
}

fn idle(core: &Shared, upstream: &Instance, once: bool) -> Option<Connection> {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let pool = &mut upstreams.instance_mut(upstream)?.idle;
    while let Some(mut idle) = pool.pop() {
        let rest = if once {
            idle.rest.min(LONGEST_IDLE_ONCE)
        } else {
            idle.rest
        };
        if now.saturating_sub(idle.since) > rest {
            if once && now.saturating_sub(idle.since) <= idle.rest {
                // Still good for a request that may run again.
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

/// Keeps a connection for the next request.
pub fn give(core: &Shared, link: Link, rest: Option<Duration>) {
    let Link {
        connection, upstream, ..
    } = link;
    if !connection.buffer.is_empty() {
        // Bytes after a whole answer belong to no request.
        return;
    }
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(known) = upstreams.instance_mut(&upstream) else {
        return;
    };
    if known.idle.len() >= MOST_IDLE {
        return;
    }
    let rest = rest.map_or(LONGEST_IDLE, |named| named.mul_f64(IDLE_SHARE).min(LONGEST_IDLE));
    known.idle.push(Idle {
        connection,
        since: core.now(),
        rest,
    });
}

/// Closes connections that have rested too long.
pub fn sweep(core: &Shared) {
    let now = core.now();
    for upstream in core.upstreams.borrow_mut().values_mut() {
        upstream
            .idle
            .retain(|idle| now.saturating_sub(idle.since) <= idle.rest);
    }
}
