//! Records the decisions about a request, and logs one line at its end.

use nutmeggrade_core::audit::AuditEvent;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::GenerationRequest;

use crate::generation::Placement;
use crate::node::Node;
use crate::tables::lock;

impl<P: Platform> Node<P> {
    /// Records a decision about a request with the numbers behind it.
    pub fn record_step(&self, request: &RequestId, step: &'static str, detail: &str) {
        lock(&self.tables.explain).note(request, step, detail, self.now());
    }

    /// Records the scheduler's verdict on a generation with the time it waited and its endpoint.
    pub fn record_admission(
        &self,
        request: &RequestId,
        generation: &GenerationRequest,
        queued_at: Moment,
        verdict: &Result<Placement<P>, Failure>,
    ) {
        let now = self.now();
        let waited = now.since(queued_at).as_millis();
        let left = generation.deadline.since(now).as_millis();
        let waiting = lock(&self.tables.scheduler).waiting();
        let (prompt, max) = (generation.prompt, generation.max_tokens);
        let figures = format!(
            "waited_ms={waited} left_ms={left} waiting={waiting} prompt={prompt} max_tokens={max}"
        );
        match verdict {
            Ok(placement) => {
                let (endpoint, priority) = (&placement.endpoint, placement.priority);
                let detail = format!("endpoint={endpoint} priority={priority} {figures}");
                self.record_step(request, "let_in", &detail);
            }
            Err(failure) => {
                let code = failure.code;
                self.record_step(request, "turned_away", &format!("code={code} {figures}"));
            }
        }
    }

    /// Records and logs how a request ended, in one line per request.
    pub fn record_end(&self, request: &RequestId, workspace: &str, code: u16, detail: &str) {
        self.record_step(request, "end", &format!("code={code} {detail}"));
        if code == Code::Fenced.number() {
            self.audit(AuditEvent::WorkRefused, "cut off from the platform and the peers");
        }
        let instance = &self.entry.instance;
        tracing::info!(event = "request_end", %request, %instance, workspace, code, detail);
    }
}
