//! Silence of a simulated endpoint that is sound otherwise.

use super::Endpoint;

impl Endpoint {
    /// Makes it fall silent or go on where it was. While it is silent it accepts connections, keeps
    /// them open and sends nothing, like a process that is suspended.
    pub fn set_silent(&self, is_silent: bool) {
        self.silent.send_replace(is_silent);
    }

    /// Waits until it isn't silent.
    pub(super) async fn until_heard(&self) {
        // The sender lives as long as the endpoint.
        drop(self.silent.subscribe().wait_for(|silent| !silent).await);
    }
}
