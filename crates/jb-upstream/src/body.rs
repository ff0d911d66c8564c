//! Bodies of responses, which are read up to a limit: an upstream in trouble may never end one.

use bytes::{Bytes, BytesMut};
use reqwest::Response;

use crate::error::Failure;

/// Reads the body of a response.
///
/// # Errors
/// It exceeds this number of bytes, or its connection failed.
pub(crate) async fn read(mut answer: Response, max_bytes: usize) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    loop {
        let part = answer.chunk().await;
        let Some(part) = part.map_err(|e| Failure::Lost(e.without_url().to_string()))? else {
            return Ok(body.freeze());
        };
        if body.len() + part.len() > max_bytes {
            return Err(Failure::Protocol(format!(
                "the answer is longer than {max_bytes} bytes"
            )));
        }
        body.extend_from_slice(&part);
    }
}
