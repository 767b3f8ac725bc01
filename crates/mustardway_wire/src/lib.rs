//! The gRPC protocol spoken with callers and targets, and its conversion to the domain types.
//!
//! Modules:
//! - [`packet`]: generated types of packets and replies.
//! - [`health`]: generated types of the standard gRPC health service.
//! - [`convert`]: conversion between wire types and domain types.
//! - [`timeout`]: the timeout that a call carries in its metadata.

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
