//! A loopback proxy that delays, slows, blocks, stalls and resets connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time;

/// Treatment of the bytes that the proxy receives.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ProxyMode {
    /// Forwards them.
    #[default]
    Forward,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Forwards them at a rate in bytes per second on each connection.
    Limit(u32),
    /// Holds requests back until the mode changes.
    BlockRequests,
    /// Holds responses back until the mode changes.
    BlockResponses,
    /// Closes every connection on which bytes arrive.
    Reset,
}

#[derive(Debug, Default)]
struct ProxyState {
    mode: ProxyMode,
    /// Connections that were opened in an earlier epoch forward nothing, for good.
    epoch: u64,
}

type SharedState = Arc<Mutex<ProxyState>>;

/// A running proxy.
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    state: SharedState,
}

impl FaultProxy {
    pub(crate) async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
        let address = listener.local_addr().expect("address");
        let state = SharedState::default();
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(serve(client, target, Arc::clone(&shared)));
            }
        });
        Self { address, state }
    }

    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        lock(&self.state).mode = mode;
    }

    /// Stalls all open connections for good. New connections work.
    pub(crate) fn stall_open_connections(&self) {
        lock(&self.state).epoch += 1;
    }
}

fn lock(state: &SharedState) -> std::sync::MutexGuard<'_, ProxyState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(client: TcpStream, target: SocketAddr, state: SharedState) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let epoch = lock(&state).epoch;
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let requests = forward(client_in, server_out, Arc::clone(&state), epoch, true);
    let responses = forward(server_in, client_out, state, epoch, false);
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: SharedState,
    epoch: u64,
    is_request: bool,
) {
    let mut buffer = [0; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        if length == 0 {
            return;
        }
        loop {
            let (mode, current) = {
                let state = lock(&state);
                (state.mode, state.epoch)
            };
            let is_blocked = match mode {
                ProxyMode::Reset => return,
                ProxyMode::BlockRequests => is_request,
                ProxyMode::BlockResponses => !is_request,
                ProxyMode::Delay(delay) => {
                    time::sleep(delay).await;
                    false
                }
                ProxyMode::Limit(rate) => {
                    time::sleep(Duration::from_secs_f64(length as f64 / f64::from(rate))).await;
                    false
                }
                ProxyMode::Forward => false,
            };
            if !is_blocked && epoch == current {
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
