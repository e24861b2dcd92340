//! Collects small messages to other instances for a moment and sends those to one instance together.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::lock;
use crate::peer::{Peers, encode};

/// The messages of one kind that wait to be sent, by receiver.
#[derive(Debug)]
pub(super) struct Outbox<T> {
    pending: Mutex<HashMap<SocketAddr, Vec<T>>>,
    added: Notify,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
            added: Notify::new(),
        }
    }
}

/// How the messages of an [`Outbox`] are sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Delivery {
    /// The kind of the peer message.
    pub kind: &'static str,
    /// How long messages are collected.
    pub delay: Duration,
    /// How long the receiver may take; messages without an answer are not sent again.
    pub timeout: Duration,
    /// The counter of messages without an answer.
    pub lost_counter: &'static str,
}

impl<T: Serialize> Outbox<T> {
    pub(super) fn push(&self, receiver: SocketAddr, message: T) {
        lock(&self.pending)
            .entry(receiver)
            .or_default()
            .push(message);
        self.added.notify_one();
    }

    /// Sends the messages until the runtime ends.
    pub(super) async fn send_all(&self, peers: Arc<dyn Peers>, delivery: Delivery) {
        loop {
            self.added.notified().await;
            sleep(delivery.delay).await;
            let pending = std::mem::take(&mut *lock(&self.pending));
            for (receiver, messages) in pending {
                let Ok(body) = encode(&messages) else {
                    continue;
                };
                let peers = Arc::clone(&peers);
                tokio::spawn(async move {
                    let sent = peers.ask(receiver, delivery.kind, body, delivery.timeout);
                    if sent.await.is_err() {
                        metrics::counter!(delivery.lost_counter).increment(1);
                    }
                });
            }
        }
    }
}
