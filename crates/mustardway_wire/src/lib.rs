//! The gRPC code towards callers and targets, and its bridge to the domain types.
//!
//! Modules:
//! - [`packet`]: packets and replies as they stand on the wire.
//! - [`health`]: the standard health service.
//! - [`convert`]: from wire to domain types and back.
//! - [`timeout`]: the deadline of a call.

mod generated {
    #![allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
    pub mod health {
        include!("generated/health.rs");
    }
    pub mod packet {
        include!("generated/packet.rs");
    }
}

pub mod convert;
pub mod timeout;

pub use generated::health::health::grpc::health::v1 as health;
pub use generated::packet::packet::mustardway::packet;
