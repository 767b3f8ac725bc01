//! Health checks of targets, each a task of its own.

use mustardway_flow::front::Probe;
use tokio::sync::mpsc;

use crate::adapter::Adapter;
use crate::input::Input;

/// Starts a probe and sends its events to `inputs`.
pub(crate) fn spawn(adapter: &Adapter, probe: Probe, inputs: mpsc::Sender<Input>) {
    let target = probe.target.clone();
    let (connected_target, connections) = (target.clone(), inputs.clone());
    // If the queue is full, the outcome of the probe shows the connection.
    let connected = move || {
        let _ = connections.try_send(Input::ProbeConnected(connected_target));
    };
    let probing = adapter.prober.probe(probe, Box::new(connected));
    tokio::spawn(async move {
        let outcome = probing.await;
        // Fails only after the dispatcher has shut down.
        let _ = inputs.send(Input::Probed(target, outcome)).await;
    });
}
