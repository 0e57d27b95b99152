//! What a request has in common with others that were lost in crashes of upstreams.

use actix_http::header;
use compact_str::CompactString;

use super::Exchange;
use crate::relay::fingerprint::Fingerprint;

impl Exchange<'_> {
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let uri = &self.head.uri;
        let path = uri.path_and_query();
        let path = path.map_or(uri.path(), |path| path.as_str());
        let method = self.head.method.as_str();
        Fingerprint::new(method, &self.host(), path, self.team_name(), &self.body)
    }

    fn host(&self) -> CompactString {
        let host = self.head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        CompactString::from(host.to_ascii_lowercase())
    }

    fn team_name(&self) -> &str {
        let team = self.admitted.team;
        team.map_or("", |team| self.admitted.catalog.team(team).name.as_str())
    }
}
