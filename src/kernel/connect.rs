//! Outgoing connections from a chosen address.
//!
//! A VM may have several addresses; the settings say from which one it
//! speaks. Without a choice the system picks one.

use async_io::Async;
use rustix::{
    io::Errno,
    net::{
        bind,
        connect,
        socket_with,
        sockopt::{
            set_socket_linger,
            set_tcp_user_timeout,
            socket_error, //
        },
        AddressFamily,
        SocketFlags,
        SocketType, //
    },
};
use std::{
    io,
    net::{
        IpAddr,
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

/// Connects to `target`, from `source` if one is given.
pub async fn open(source: Option<IpAddr>, target: SocketAddr) -> io::Result<Async<TcpStream>> {
    match source {
        None => Async::<TcpStream>::connect(target).await,
        Some(source) => open_from(SocketAddr::new(source, 0), target).await,
    }
}

async fn open_from(source: SocketAddr, target: SocketAddr) -> io::Result<Async<TcpStream>> {
    let family = if target.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    bind(&socket, &source)?;
    match connect(&socket, &target) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new_nonblocking(TcpStream::from(socket))?;
    stream.writable().await?;
    socket_error(&stream)??;
    Ok(stream)
}

/// Ends the connection when sent bytes stay unconfirmed for `span`.
pub fn limit_silence(stream: &Async<TcpStream>, span: Duration) -> io::Result<()> {
    let millis = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(stream, millis)?)
}

/// Makes closing drop what was not delivered yet.
pub fn reset_on_close(stream: &Async<TcpStream>) -> io::Result<()> {
    Ok(set_socket_linger(stream, Some(Duration::ZERO))?)
}
