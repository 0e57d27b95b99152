//! What a request has in common with others that were lost in crashes of upstreams.

use std::time::Duration;

use actix_http::header;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use tokio::time::Instant;

use super::{Delivery, Exchange, RequestProgress};
use crate::relay::admission::Refusal;
use crate::relay::catalog::Route;
use crate::relay::fingerprint::Fingerprint;
use crate::relay::message::Prefix;
use crate::relay::quarantine::{Subject, Verdict};
use crate::relay::responder::Responder;
use crate::relay::traffic::LostRequest;
use crate::relay::view::{Upstream, UpstreamKey};

/// `Retry-After` of a request that is not repeated for a suspect subject: by then it is
/// known whether upstreams crash under it.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Losses of one request after which it waits for the upstreams' crashes to be confirmed
/// before it is sent again.
const LOSSES_BEFORE_CONFIRMATION: u32 = 2;

/// Note on the log line of a request that is held back.
pub(super) const HELD_BACK_NOTE: &str =
    "upstreams crash under this request or a part of its prompt";

/// Subjects of a request: the parts of its prompt that others may share, and itself.
#[derive(Debug)]
pub(in crate::relay) struct Subjects(Vec<Subject>);

impl Subjects {
    /// All of them.
    fn all(&self) -> &[Subject] {
        &self.0
    }

    fn parts(&self) -> &[Subject] {
        &self.0[..self.0.len() - 1]
    }

    fn request(&self) -> &[Subject] {
        &self.0[self.0.len() - 1..]
    }
}

impl Exchange<'_> {
    // Parts of the prompt that other requests may share: all but the last.
    pub(super) fn shared_prefixes(&self) -> &[Prefix] {
        let parts = &self.request.prefixes;
        &parts[..parts.len().saturating_sub(1)]
    }

    fn subjects(&self) -> &Subjects {
        self.subjects.get_or_init(|| {
            let parts = self.shared_prefixes().iter();
            let mut subjects: Vec<Subject> =
                parts.filter_map(|part| Subject::part(&part.id)).collect();
            subjects.push(Subject::Request(self.fingerprint()));
            Subjects(subjects)
        })
    }

    pub(super) fn fingerprint(&self) -> Fingerprint {
        let uri = &self.head.uri;
        let path = uri.path_and_query();
        let path = path.map_or(uri.path(), |path| path.as_str());
        let method = self.head.method.as_str();
        let blocks = self.body.blocks().iter().map(Bytes::as_ref);
        let (host, team) = (self.host(), self.team_name());
        Fingerprint::of_blocks(method, &host, path, team, self.body.len(), blocks)
    }

    fn host(&self) -> CompactString {
        let host = self.head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        CompactString::from(host.to_ascii_lowercase())
    }

    // Judges the request by its subjects; by itself alone once a part of its answer was
    // delivered. A lost request with a suspect subject is not repeated, since each repeat
    // may take one more upstream down.
    pub(super) async fn verdict(&self, progress: &mut RequestProgress, has_begun: bool) -> Verdict {
        if progress.losses >= LOSSES_BEFORE_CONFIRMATION {
            self.traffic.crashes_confirmed(&progress.excluded).await;
        }
        if !self.traffic.has_suspects() {
            return Verdict::Sound;
        }
        if progress.trial_at.is_some() && progress.sends == 0 {
            return Verdict::Trial;
        }
        let subjects = self.subjects();
        let judged = if has_begun {
            subjects.request()
        } else {
            subjects.all()
        };
        let verdict = self.traffic.judge_request(judged, progress.sends == 0);
        if verdict == Verdict::Trial {
            progress.trial_at = Some(self.traffic.now());
        }
        match verdict {
            Verdict::Suspect if progress.losses > 0 => Verdict::Quarantined(SUSPECT_RETRY_AFTER),
            verdict => verdict,
        }
    }

    // Ends the request's trial, if it is one that shows nothing unless an upstream crashed
    // under it: each send was refused or lost. A send that may still run does show something.
    pub(super) fn end_trial(&self, progress: &RequestProgress, has_ended: bool) {
        let Some(begun) = progress.trial_at else {
            return;
        };
        let is_known = if has_ended {
            progress.runs == progress.losses
        } else {
            progress.sends == 0
        };
        if is_known {
            self.traffic
                .end_trial(self.subjects().all().to_vec(), begun);
        }
    }

    // Ends a request under which upstreams crash, or may.
    pub(super) async fn hold_back(
        &mut self,
        wait: Duration,
        route: &Route,
        progress: &mut RequestProgress,
        responder: &mut Responder<'_>,
    ) -> Delivery {
        self.log.set_note(HELD_BACK_NOTE);
        if progress.may_have_run || progress.fallback.is_some() {
            return self.give_up(route, progress, responder).await;
        }
        self.refuse(Refusal::Quarantined(wait), responder).await
    }

    // Records that an upstream ended without the whole answer. A part of the prompt may
    // be the cause only if the answer had not begun.
    pub(super) fn record_crash(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        sent: Instant,
        has_begun: bool,
    ) {
        let subjects = self.subjects();
        let subjects = if has_begun {
            subjects.request()
        } else {
            subjects.all()
        };
        let lost = LostRequest {
            subjects: subjects.to_vec(),
            label: self.label(),
            at: self.traffic.now(),
            after: sent.elapsed(),
        };
        self.traffic.record_crash(lost, key, upstream);
    }

    // Records that an answer began, which clears the parts of the prompt.
    pub(super) fn record_begun(&self) {
        if self.traffic.has_suspects() {
            self.traffic.record_subject_answer(self.subjects().parts());
        }
    }

    // Records that an answer has ended whole, which clears the request too.
    pub(super) fn record_whole(&self) {
        if self.traffic.has_suspects() {
            self.traffic.record_subject_answer(self.subjects().all());
        }
    }

    // Describes the request to operators, without its query and body.
    fn label(&self) -> CompactString {
        let (method, host) = (self.head.method.as_str(), self.host());
        let (path, team) = (self.head.uri.path(), self.team_name());
        format_compact!("{method} {host}{path} of {team}")
    }

    fn team_name(&self) -> &str {
        let team = self.admitted.team;
        team.map_or("", |team| self.admitted.catalog.team(team).name.as_str())
    }
}
