//! Accept loop of listeners.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use jb_protocol::{emit, event};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::core::Shared;

/// Delay after a failed accept, for example because the process is out of file descriptors.
const ERROR_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the task is dropped; each is served by its own task.
pub async fn serve<F>(core: Shared, listener: &TcpListener, connection: fn(Shared, TcpStream) -> F)
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
                // It may be that no descriptor is left.
                core.callers.connections.evict();
                sleep(ERROR_DELAY).await;
            }
        }
    }
}
