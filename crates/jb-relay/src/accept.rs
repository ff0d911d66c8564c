//! Accepting connections.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use jb_protocol::{emit, event};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::core::Shared;

/// Pause after a connection that could not be accepted, such as for want of descriptors.
const AFTER_ERROR: Duration = Duration::from_millis(20);

/// Accepts connections for ever, each served by a task of its own.
pub async fn serve<F>(core: Shared, listener: TcpListener, connection: fn(Shared, TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(Rc::clone(&core), stream));
            }
            Err(why) => {
                emit!(core.logger, warn, event::ACCEPT_FAILED, "why" => %why);
                sleep(AFTER_ERROR).await;
            }
        }
    }
}
