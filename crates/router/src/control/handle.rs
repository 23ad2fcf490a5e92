//! Sends messages to the control thread.

use std::future::pending;

use async_channel::Receiver;
use async_channel::Sender;

use super::Msg;
use super::Reply;

const QUEUE_CAPACITY: usize = 4_096;

/// Sends messages to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    tx: Sender<Msg>,
}

impl ControlHandle {
    /// Creates a handle, and the receiver for the control thread.
    #[must_use]
    pub fn new() -> (Self, Receiver<Msg>) {
        let (tx, rx) = async_channel::bounded(QUEUE_CAPACITY);
        (Self { tx }, rx)
    }

    /// Sends a message and waits for its answer.
    pub async fn ask<T, F>(&self, make: F) -> T
    where
        F: FnOnce(Reply<T>) -> Msg,
    {
        let (tx, rx) = async_channel::bounded(1);
        // The process aborts when the control thread ends, so this does not
        // wait for long.
        if self.tx.send(make(Reply::new(tx))).await.is_err() {
            pending::<()>().await;
        }
        match rx.recv().await {
            Ok(answer) => answer,
            Err(_closed) => pending().await,
        }
    }

    /// Sends a message that has no answer.
    pub async fn send(&self, msg: Msg) {
        // The process aborts when the control thread ends.
        let _ending = self.tx.send(msg).await;
    }
}
