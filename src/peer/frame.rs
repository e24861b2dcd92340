//! Frames on an HTTP/2 stream: a four-byte big-endian length, then the `bincode` message.

use std::future::poll_fn;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::peer::{MAX_MESSAGE_BYTES, PeerError, decode, encode};

/// Size of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;

/// Reads frames from a stream.
pub(super) struct FrameReader {
    stream: RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Returns the next frame, or `None` at the end of the stream.
    pub(super) async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        let frame = self.next_bytes().await?;
        frame.map(|frame| decode(&frame)).transpose()
    }

    /// Returns the bytes of the next frame, or `None` at the end of the stream.
    pub(super) async fn next_bytes(&mut self) -> Result<Option<Bytes>, PeerError> {
        loop {
            if let Some(frame) = take_frame(&mut self.buf)? {
                return Ok(Some(frame));
            }
            let Some(data) = self.stream.data().await else {
                return check_stream_end(&self.buf);
            };
            let data = data.map_err(|e| PeerError::ResponseLost(e.to_string()))?;
            release_window(&mut self.stream, data.len())?;
            self.buf.extend_from_slice(&data);
        }
    }

    /// Returns the stream and the bytes that have been read but not returned as part of a frame.
    pub(super) fn into_rest(self) -> (RecvStream, Bytes) {
        (self.stream, self.buf.freeze())
    }
}

/// Reads the whole stream as a single message without a length prefix.
pub(super) async fn read_all(stream: &mut RecvStream) -> Result<Bytes, PeerError> {
    let mut buf = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data.map_err(|e| PeerError::ResponseLost(e.to_string()))?;
        release_window(stream, data.len())?;
        if buf.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(PeerError::Malformed(
                "message exceeds the maximum size".to_owned(),
            ));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Sends one frame, as flow control allows.
pub(super) async fn send_frame<T: Serialize>(
    stream: &mut SendStream<Bytes>,
    frame: &T,
    end_of_stream: bool,
) -> Result<(), PeerError> {
    send_all(stream, framed(&encode(frame)?)?, end_of_stream).await
}

/// Returns the frame of a message: its length, then its bytes.
pub(super) fn framed(body: &[u8]) -> Result<Bytes, PeerError> {
    let length = u32::try_from(body.len())
        .map_err(|_| PeerError::Malformed("frame length exceeds 32 bits".to_owned()))?;
    let mut buf = BytesMut::with_capacity(PREFIX_BYTES + body.len());
    buf.put_u32(length);
    buf.extend_from_slice(body);
    Ok(buf.freeze())
}

/// Sends bytes as flow control allows.
pub(super) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut data: Bytes,
    end_of_stream: bool,
) -> Result<(), PeerError> {
    if data.is_empty() {
        return send_part(stream, data, end_of_stream);
    }
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let capacity = match poll_fn(|cx| stream.poll_capacity(cx)).await {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(PeerError::ResponseLost(e.to_string())),
            None => return Err(PeerError::ResponseLost("stream closed".to_owned())),
        };
        if capacity == 0 {
            continue;
        }
        let part = data.split_to(capacity.min(data.len()));
        let is_end = end_of_stream && data.is_empty();
        send_part(stream, part, is_end)?;
    }
    Ok(())
}

fn send_part(
    stream: &mut SendStream<Bytes>,
    part: Bytes,
    end_of_stream: bool,
) -> Result<(), PeerError> {
    stream
        .send_data(part, end_of_stream)
        .map_err(|e| PeerError::ResponseLost(e.to_string()))
}

fn take_frame(buf: &mut BytesMut) -> Result<Option<Bytes>, PeerError> {
    let Some(prefix) = buf.get(..PREFIX_BYTES) else {
        return Ok(None);
    };
    let mut prefix = prefix;
    let length = usize::try_from(prefix.get_u32()).unwrap_or(usize::MAX);
    if length > MAX_MESSAGE_BYTES {
        return Err(PeerError::Malformed(format!(
            "frame of {length} bytes exceeds the maximum size"
        )));
    }
    if buf.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    buf.advance(PREFIX_BYTES);
    Ok(Some(buf.split_to(length).freeze()))
}

fn check_stream_end(buf: &BytesMut) -> Result<Option<Bytes>, PeerError> {
    if buf.is_empty() {
        return Ok(None);
    }
    Err(PeerError::Malformed(
        "stream ended within a frame".to_owned(),
    ))
}

/// Returns consumed bytes to the flow-control window, so that the peer may send as many bytes
/// again.
pub(super) fn release_window(stream: &mut RecvStream, bytes: usize) -> Result<(), PeerError> {
    stream
        .flow_control()
        .release_capacity(bytes)
        .map_err(|e| PeerError::ResponseLost(e.to_string()))
}
