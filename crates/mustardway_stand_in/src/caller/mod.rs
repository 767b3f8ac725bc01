//! Callers: they open flows, send requests over them and check the answers.
//!
//! Load is open loop: requests begin at their times whatever became of those
//! before. Each kind of request has its rate, its deadline and its flows. A
//! caller comes back after a refusal within its deadline, and checks that
//! every answer is whole and its own.
//!
//! Modules:
//! - [`workload`]: kinds of requests.
//! - [`request`]: one request, from its first try to its end.
//! - [`flow`]: flows that requests go over.
//! - [`report`]: what became of the requests.
//! - [`load`]: sends a workload.

pub mod flow;
pub mod load;
pub mod report;
pub mod request;
pub mod workload;
