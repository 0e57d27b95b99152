//! Authentication of callers by their team's key.

use compact_str::CompactString;
use subtle::ConstantTimeEq;

use super::refusal::Refusal;
use crate::resource::{Config, TeamKey, key_digest};
use crate::traffic::Code;

/// The team that sent a request.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) key: TeamKey,
    pub(super) name: CompactString,
}

/// Finds the team of a key by the key's digest.
///
/// The digest is looked up in a hash table and then compared again in constant
/// time. A caller can't choose digests, so the lookup's timing reveals nothing
/// about other keys.
///
/// # Errors
///
/// Returns a [`Refusal`] if there is no configuration yet or no team has the
/// key.
pub(super) fn authenticate(config: &Config, bearer: &str) -> Result<Caller, Refusal> {
    if config.generation == 0 {
        return Err(Refusal::new(
            Code::StaleConfiguration,
            "this gateway has no configuration yet; come back soon",
        )
        .retry_after(1_000));
    }
    let digest = key_digest(bearer);
    config
        .team_by_digest(&digest)
        .and_then(|key| Some((key, config.teams.get(key)?)))
        .filter(|(_, team)| {
            team.spec
                .key_digests
                .iter()
                .any(|known| digests_match(known, &digest))
        })
        .map(|(key, team)| Caller {
            key,
            name: team.name.clone(),
        })
        .ok_or_else(|| {
            Refusal::new(
                Code::UnknownKey,
                "no team has this key; give `authorization: Bearer KEY`",
            )
        })
}

fn digests_match(known: &str, digest: &str) -> bool {
    let known = known.to_ascii_lowercase();
    bool::from(known.as_bytes().ct_eq(digest.as_bytes()))
}
