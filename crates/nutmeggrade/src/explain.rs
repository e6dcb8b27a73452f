//! Notes of what was decided about a request, and the one log line at its end.

use nutmeggrade_core::audit::AuditEvent;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::GenerationRequest;

use crate::generation::Placement;
use crate::node::Node;
use crate::tables::lock;

impl<P: Platform> Node<P> {
    /// Notes a decision about a request with the numbers it was made on.
    pub fn note(&self, request: &RequestId, step: &'static str, detail: &str) {
        lock(&self.tables.explain).note(request, step, detail, self.now());
    }

    /// Notes whether the scheduler let a generation in, after which wait, and where to.
    pub fn note_admission(
        &self,
        request: &RequestId,
        ask: &GenerationRequest,
        asked: Moment,
        verdict: &Result<Placement<P>, Failure>,
    ) {
        let now = self.now();
        let waited = now.since(asked).as_millis();
        let left = ask.deadline.since(now).as_millis();
        let waiting = lock(&self.tables.scheduler).waiting();
        let (prompt, most) = (ask.prompt, ask.max_tokens);
        let numbers = format!(
            "waited_ms={waited} left_ms={left} waiting={waiting} prompt={prompt} max_tokens={most}"
        );
        match verdict {
            Ok(place) => {
                let (endpoint, priority) = (&place.endpoint, place.priority);
                let place = format!("endpoint={endpoint} priority={priority} {numbers}");
                self.note(request, "let_in", &place);
            }
            Err(failure) => {
                let code = failure.code;
                self.note(request, "turned_away", &format!("code={code} {numbers}"));
            }
        }
    }

    /// Notes and logs how a request ended: one line a request.
    pub fn note_end(&self, request: &RequestId, workspace: &str, code: u16, detail: &str) {
        self.note(request, "end", &format!("code={code} {detail}"));
        if code == Code::Fenced.number() {
            self.audit(AuditEvent::WorkRefused, "cut off from the platform and the peers");
        }
        let instance = &self.entry.instance;
        tracing::info!(event = "request_end", %request, %instance, workspace, code, detail);
    }
}
