//! Waiting for the signals to stop and to read the settings again.

use async_io::Async;
use futures_lite::AsyncReadExt;
use signal_hook::{
    consts::{
        SIGHUP,
        SIGINT,
        SIGTERM, //
    },
    low_level::pipe,
};
use std::{
    io,
    os::unix::net::UnixStream, //
};

/// Waits until the process is told to stop.
pub async fn wait_for_termination() -> io::Result<()> {
    let (receiver, sender) = UnixStream::pair()?;
    pipe::register(SIGTERM, sender.try_clone()?)?;
    pipe::register(SIGINT, sender)?;
    let mut receiver = Async::new(receiver)?;
    let mut byte = [0];
    receiver.read_exact(&mut byte).await
}

/// Signals to read the settings again.
pub struct Hangups {
    receiver: Async<UnixStream>,
}

/// Starts to listen for the signal.
pub fn hangups() -> io::Result<Hangups> {
    let (receiver, sender) = UnixStream::pair()?;
    pipe::register(SIGHUP, sender)?;
    let receiver = Async::new(receiver)?;
    Ok(Hangups { receiver })
}

impl Hangups {
    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        let mut byte = [0];
        if self.receiver.read_exact(&mut byte).await.is_err() {
            // The sender lives as long as the process, so this is not reached.
            std::future::pending::<()>().await;
        }
    }
}
