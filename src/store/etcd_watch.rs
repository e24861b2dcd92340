//! A watch over etcd's JSON interface: a streamed response with one JSON object per line.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::Response;
use tokio::sync::mpsc;

use super::client::from_reqwest;
use super::etcd_wire::{Streamed, WatchResponse};
use super::{StoreError, WatchEvent};

/// A watch that receives no message for this long is closed; the caller then opens a new one.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum length of one message.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// Changes buffered for the receiver of a watch.
const EVENT_QUEUE_LEN: usize = 256;

/// Waits until the store confirms the watch, then forwards its changes to the returned channel.
pub(super) async fn open(
    resp: Response,
    timeout: Duration,
) -> Result<mpsc::Receiver<WatchEvent>, StoreError> {
    let mut reader = MessageReader::new(resp);
    let first = tokio::time::timeout(timeout, reader.next())
        .await
        .map_err(|_| {
            StoreError::ResponseLost("time-out while waiting for the watch to be confirmed".into())
        })??;
    let Some(first) = first else {
        return Err(StoreError::ResponseLost(
            "watch closed before it was confirmed".into(),
        ));
    };
    if first.canceled || !first.created {
        return Err(StoreError::Refused(
            "watch cancelled by the store before it was confirmed".into(),
        ));
    }
    let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
    tokio::spawn(async move {
        tokio::select! {
            () = tx.closed() => {}
            () = forward_events(first, reader, &tx) => {}
        }
    });
    Ok(rx)
}

/// Forwards changes until the watch fails, is cancelled or exceeds its idle time-out.
async fn forward_events(
    first: WatchResponse,
    mut reader: MessageReader,
    tx: &mpsc::Sender<WatchEvent>,
) {
    let mut message = first;
    loop {
        if message.compact_revision > 0 || message.canceled {
            let _ = tx.send(WatchEvent::Gap).await;
            return;
        }
        let Ok(changes) = message.changes() else {
            let _ = tx.send(WatchEvent::Gap).await;
            return;
        };
        for change in changes {
            if tx.send(change).await.is_err() {
                return;
            }
        }
        match tokio::time::timeout(WATCH_IDLE_TIMEOUT, reader.next()).await {
            Ok(Ok(Some(next))) => message = next,
            _ => return,
        }
    }
}

/// Splits a response body into messages, one per line.
struct MessageReader {
    resp: Response,
    buf: BytesMut,
}

impl MessageReader {
    fn new(resp: Response) -> Self {
        Self {
            resp,
            buf: BytesMut::new(),
        }
    }

    /// Returns the next message, or `None` at the end of the body.
    async fn next(&mut self) -> Result<Option<WatchResponse>, StoreError> {
        loop {
            if let Some(line) = self.take_line() {
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return parse(&line).map(Some);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(StoreError::ResponseLost(
                    "watch message exceeds 8 MiB".into(),
                ));
            }
            let Some(chunk) = self.resp.chunk().await.map_err(|e| from_reqwest(&e))? else {
                return Ok(None);
            };
            self.buf.extend_from_slice(&chunk);
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buf.iter().position(|b| *b == b'\n')?;
        Some(self.buf.split_to(end + 1).freeze())
    }
}

fn parse(line: &[u8]) -> Result<WatchResponse, StoreError> {
    let message: Streamed<WatchResponse> =
        serde_json::from_slice(line).map_err(|e| StoreError::ResponseLost(e.to_string()))?;
    message
        .result
        .ok_or_else(|| StoreError::ResponseLost("watch message has no result".into()))
}
