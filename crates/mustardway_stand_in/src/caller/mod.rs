//! Callers that open flows, send requests over them and check the answers.
//!
//! The load is open loop: requests start on schedule, whatever the outcome of
//! earlier requests. Each kind of request has a rate, a deadline and a set of
//! flows. A caller retries a refused request until its deadline, and checks
//! that every answer is complete and belongs to its request.
//!
//! Modules:
//! - [`workload`]: kinds of requests and the retry policy.
//! - [`request`]: one request with its retries.
//! - [`flow`]: pool of the flows that carry requests.
//! - [`report`]: outcomes and latencies of requests.
//! - [`load`]: open-loop load generator.

pub mod flow;
pub mod load;
pub mod report;
pub mod request;
pub mod workload;
