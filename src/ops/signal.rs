//! Signals that stop the process or reload its settings.
//!
//! A signal handler writes a byte to a socket pair, and a task waits for the
//! byte: SIGTERM and SIGINT stop the process, SIGHUP reloads the settings.

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

/// SIGTERM and SIGINT, from the installation of their handler on.
pub struct Termination {
    receiver: Async<UnixStream>,
}

/// Installs the handler for SIGTERM and SIGINT.
///
/// A process installs it before anything else, as a signal would end it without a shutdown
/// until then.
pub fn termination() -> io::Result<Termination> {
    let (receiver, sender) = UnixStream::pair()?;
    pipe::register(SIGTERM, sender.try_clone()?)?;
    pipe::register(SIGINT, sender)?;
    let receiver = Async::new(receiver)?;
    Ok(Termination { receiver })
}

impl Termination {
    /// Waits for one of the signals.
    pub async fn wait(mut self) -> io::Result<()> {
        let mut byte = [0];
        self.receiver.read_exact(&mut byte).await
    }
}

/// Installs the handler for SIGTERM and SIGINT and waits for one of them.
pub async fn wait_for_termination() -> io::Result<()> {
    termination()?.wait().await
}

/// Stream of SIGHUP signals.
pub struct Hangups {
    receiver: Async<UnixStream>,
}

/// Installs the handler for SIGHUP.
pub fn hangups() -> io::Result<Hangups> {
    let (receiver, sender) = UnixStream::pair()?;
    pipe::register(SIGHUP, sender)?;
    let receiver = Async::new(receiver)?;
    Ok(Hangups { receiver })
}

impl Hangups {
    /// Waits for the next SIGHUP.
    pub async fn wait(&mut self) {
        let mut byte = [0];
        if self.receiver.read_exact(&mut byte).await.is_err() {
            // Unreachable: the handler keeps the sender open until the process exits.
            std::future::pending::<()>().await;
        }
    }
}
