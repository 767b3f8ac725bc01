//! Forwarding decisions of one instance of the packet front, a layer-4 load balancer.
//!
//! Callers and targets carry a token in every packet of a flow. The token names the
//! flow's target, so any instance can forward any packet without having seen the flow
//! before. An instance keeps a flow table only to detect targets that no longer
//! answer, to balance load, and to reset flows that cannot continue.
//!
//! The crate performs no input or output. Events and packets come in with the current
//! time; verdicts and actions are returned.
//!
//! Modules:
//! - [`packet`]: the packet fields that decide where a packet goes.
//! - [`token`]: the identifier of a target inside packets.
//! - [`contested`]: flows whose opening packet was sent to several targets.
//! - [`demand`]: the share of the callers' demand that this instance can place.
//! - [`directory`]: published routes and targets, with the state kept for each
//!   target.
//! - `rank`: the choice of a few instances for each target.
//! - `reachability`: failure domains that this instance cannot reach.
//! - [`responsiveness`]: whether this instance itself responds in time.
//! - [`observation`]: passive observation of targets from their callers' packets.
//! - [`health`]: the health status of a target and the schedule of its probes.
//! - [`slow_start`]: the rate of new flows to a target that has just started.
//! - [`opening`]: opening packets that wait for the caller's next packet.
//! - [`measurement`]: the time that a target takes for the requests of one flow.
//! - [`load`]: shared load estimates and admission control, as this crate uses them.
//! - [`placement`]: the load-balancing policy for new flows.
//! - [`table`]: the flow table.
//! - [`front`]: the state machine that joins these parts.
//! - [`note`]: decisions to log, and the reasons for drops and resets.

mod backlog;
pub mod contested;
pub mod demand;
pub mod directory;
pub mod front;
pub mod health;
pub mod load;
pub mod measurement;
pub mod note;
pub mod observation;
pub mod opening;
pub mod packet;
pub mod placement;
mod rank;
mod reachability;
pub mod responsiveness;
pub mod slow_start;
pub mod table;
pub mod token;
