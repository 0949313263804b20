//! What comes from other nodes: datagrams, and requests for configuration bodies.

use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;

use control::Event;
use telemetry::Counter;
use transport::{
    open_packet, serve_config_body, Key, PacketError, ReplayGuard, MAX_DATAGRAM_BYTES,
};

use crate::attempt::spawn;
use crate::control::ControlEvent;
use crate::shared::Shared;

/// Connections for bodies that are answered at once.
const MAX_BODY_CONNECTIONS: usize = 16;

/// Takes datagrams until the node ends; the socket has a read timeout.
pub fn receive(shared: &Shared, socket: &UdpSocket) {
    let key = Key::new(&shared.settings.peer_key);
    let mut guard = ReplayGuard::default();
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    while !shared.has_ended() {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let event = match open_packet(&key, &mut guard, &buffer[..length]) {
            Ok(packet) => Event::Packet(Box::new(packet)),
            Err(PacketError::OldIncarnation(packet)) => Event::OldPacket(packet),
            Err(_) => {
                shared.metrics.count(Counter::PacketsDropped);
                continue;
            }
        };
        shared.metrics.count(Counter::PacketsReceived);
        let _ = shared.control.send(ControlEvent::Core(event));
    }
}

/// Answers requests for configuration bodies until the node ends.
pub fn serve_bodies(shared: &Arc<Shared>, listener: &TcpListener) {
    let key = Key::new(&shared.settings.peer_key);
    let busy = Arc::new(());
    for stream in listener.incoming() {
        if shared.has_ended() {
            return;
        }
        let (Ok(stream), true) = (stream, Arc::strong_count(&busy) <= MAX_BODY_CONNECTIONS) else {
            continue;
        };
        let (shared, key, busy) = (Arc::clone(shared), key.clone(), Arc::clone(&busy));
        spawn(move || {
            let _busy = busy;
            let find = |hash: &str| {
                let snapshot = shared.snapshot.load();
                (snapshot.version.hash == hash).then(|| snapshot.body.clone())
            };
            let _ = serve_config_body(stream, &key, find);
        });
    }
}
