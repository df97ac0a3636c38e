//! Outgoing TCP connections and their socket options.
//!
//! A VM may have several addresses. The settings may name the source address
//! of outgoing connections; otherwise the operating system chooses it.

use async_io::Async;
use rustix::{
    io::Errno,
    net::{
        bind,
        connect,
        socket_with,
        sockopt::{
            set_socket_linger,
            set_socket_recv_buffer_size,
            set_socket_send_buffer_size,
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
        TcpListener,
        TcpStream, //
    },
    time::Duration,
};

/// Connects to `target`, from the address `source` if one is given.
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

/// Closes the connection when sent data stays unacknowledged for `span`
/// (`TCP_USER_TIMEOUT`).
pub fn set_user_timeout(stream: &Async<TcpStream>, span: Duration) -> io::Result<()> {
    let millis = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(stream, millis)?)
}

/// Makes closing the connection discard undelivered data and send a reset
/// (`SO_LINGER` of zero).
pub fn reset_on_close(stream: &Async<TcpStream>) -> io::Result<()> {
    Ok(set_socket_linger(stream, Some(Duration::ZERO))?)
}

/// Sets the sizes of the buffers of the connections that a socket accepts (`SO_RCVBUF`,
/// `SO_SNDBUF`), which otherwise grow up to some megabytes each.
pub fn set_buffer_sizes(
    listener: &Async<TcpListener>,
    receive: usize,
    send: usize,
) -> io::Result<()> {
    set_socket_recv_buffer_size(listener, receive)?;
    Ok(set_socket_send_buffer_size(listener, send)?)
}

/// Sets the size of the receive buffer of a connection (`SO_RCVBUF`).
pub fn set_receive_buffer_size(stream: &Async<TcpStream>, size: usize) -> io::Result<()> {
    Ok(set_socket_recv_buffer_size(stream, size)?)
}
