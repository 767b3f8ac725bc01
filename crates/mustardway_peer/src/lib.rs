//! Frame transport between instances over TCP.
//!
//! A [`mesh::Mesh`] keeps at most one connection to each peer and uses it in both
//! directions. It does not interpret the bodies of frames: a [`handler::Handler`]
//! receives every frame and is told about every broken link. Sending never waits.
//!
//! On the wire a frame is a length prefix of four bytes, a version byte and a protobuf
//! message. The first frame of a connection is a hello with the name of its sender, the
//! address where the sender listens, and the name of the instance that the sender
//! expects at the other end.
//!
//! A frame that was queued and then dropped before any byte of it was handed to the
//! socket is reported as not sent, see [`transmission`]. Without this report a request
//! that was to be forwarded could not be answered "not run".
//!
//! Peers are trusted by their network address: frames are neither signed nor
//! encrypted, so peer addresses must be on a private network of the system.
//!
//! Lock order: the link table of the mesh, then the queue of one link. The set of
//! partitioned peers, the counters and the handler are used while neither lock is held.
//!
//! Modules:
//! - [`counters`]: counters of traffic by frame kind and of link events.
//! - [`frame`]: the frame format, frame kinds and the codec.
//! - [`handler`]: the callbacks for received frames and broken links.
//! - [`link`]: one connection to a peer.
//! - [`mesh`]: all links of one instance.
//! - [`send`]: priorities, and the errors when a frame cannot be queued.
//! - [`settings`]: identity, addresses, limits and timeouts.
//! - [`transmission`]: whether a queued frame was handed to the socket.

mod accept;
pub mod counters;
pub mod frame;
pub mod handler;
pub mod link;
mod log;
pub mod mesh;
mod partition;
mod queue;
pub mod send;
pub mod settings;
mod table;
pub mod transmission;
