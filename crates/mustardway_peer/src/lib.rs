//! Frames between instances over TCP.
//!
//! A [`mesh::Mesh`] keeps at most one connection to each peer and uses it both
//! ways. It carries frames and knows nothing of what is in them: a
//! [`handler::Handler`] gets every frame that came in, and hears of every link
//! that broke. Sending never waits.
//!
//! On the wire a frame is a length of four bytes, a version byte and a protobuf
//! message. The first frame of a connection is a hello that names its sender, the
//! address where the sender listens, and the instance it takes the other side to be.
//!
//! A frame that was taken for sending and then dropped before any byte of it was
//! handed to the socket is reported as such, see [`transmission`]: only so can a
//! request that was to be forwarded be answered "not run".
//!
//! Peers are trusted by their network address: frames are neither signed nor
//! encrypted, so the peer addresses belong on a network of the system's own.
//!
//! Lock order: the link table of the mesh, then the queue of one link. The cut
//! set, the counters and the handler are used with neither held.
//!
//! Modules:
//! - [`counters`]: what went in and out, by kind, and what went wrong.
//! - [`frame`]: a frame, its kinds and its codec.
//! - [`handler`]: where frames and broken links go.
//! - [`link`]: one connection.
//! - [`mesh`]: all connections of one instance.
//! - [`send`]: priorities, and why a frame is not taken for sending.
//! - [`settings`]: names, limits and times.
//! - [`transmission`]: whether a frame can have left.

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
