//! Resume tokens: signed, so that any node with the key can continue the stream of a token.

use std::fmt;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;
use schema::messages::ResumeToken;

use crate::auth::{sign, verify, Key, TAG_BYTES};

/// Longest token that is decoded, in bytes of text.
const MAX_TOKEN_BYTES: usize = 1024;

/// Why a token was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeError {
    /// It is malformed, or its authentication tag is wrong.
    Altered,
    /// It has expired.
    Expired,
    /// It belongs to another team.
    OtherTeam,
    /// It belongs to another request body.
    OtherBody,
}

impl fmt::Display for ResumeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResumeError::Altered => "the resume token is malformed or altered",
            ResumeError::Expired => "the resume token is expired",
            ResumeError::OtherTeam => "the resume token belongs to another team",
            ResumeError::OtherBody => "the resume token belongs to another request body",
        })
    }
}

impl std::error::Error for ResumeError {}

/// Signs a token and encodes it as URL-safe base64, fit for a header value.
pub fn issue_resume_token(key: &Key, token: &ResumeToken) -> String {
    let mut bytes = schema::encode(token).unwrap_or_default();
    let tag = sign(key, &bytes);
    bytes.extend_from_slice(&tag);
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Verifies a token and checks it against the team and body of the request that carries it; `now`
/// is in seconds since the Unix epoch.
pub fn verify_resume_token(
    key: &Key,
    text: &str,
    team: &str,
    body_sha256: &str,
    now: i64,
) -> Result<ResumeToken, ResumeError> {
    let token = decode_token(key, text).ok_or(ResumeError::Altered)?;
    if token.expires <= now {
        return Err(ResumeError::Expired);
    }
    if token.team != team {
        return Err(ResumeError::OtherTeam);
    }
    if token.body_sha256 != body_sha256 {
        return Err(ResumeError::OtherBody);
    }
    Ok(token)
}

fn decode_token(key: &Key, text: &str) -> Option<ResumeToken> {
    if text.len() > MAX_TOKEN_BYTES {
        return None;
    }
    let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
    let split = bytes.len().checked_sub(TAG_BYTES)?;
    let (value, tag) = bytes.split_at(split);
    if !verify(key, value, tag) {
        return None;
    }
    schema::decode(value).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn token() -> ResumeToken {
        ResumeToken {
            request: "r1".into(),
            team: "crews".into(),
            endpoint: "w1".into(),
            stream: "s1".into(),
            attempt: 2,
            offset: 17,
            body_sha256: "abc".into(),
            expires: 1000,
        }
    }

    #[test]
    fn can_verify_its_own_token() {
        let key = Key::new("0123456789abcdef");
        let text = issue_resume_token(&key, &token());
        assert_eq!(
            verify_resume_token(&key, &text, "crews", "abc", 999),
            Ok(token())
        );
    }

    #[test]
    fn errors_on_every_altered_character() {
        let key = Key::new("0123456789abcdef");
        let text = issue_resume_token(&key, &token());
        for at in 0..text.len() {
            let mut altered: Vec<char> = text.chars().collect();
            altered[at] = if altered[at] == 'A' { 'Q' } else { 'A' };
            let altered: String = altered.into_iter().collect();
            assert_eq!(
                verify_resume_token(&key, &altered, "crews", "abc", 999),
                Err(ResumeError::Altered)
            );
        }
    }

    #[test]
    fn errors_on_expired_tokens_and_on_another_key_team_or_body() {
        let key = Key::new("0123456789abcdef");
        let other = Key::new("fedcba9876543210");
        let text = issue_resume_token(&key, &token());
        assert_eq!(
            verify_resume_token(&other, &text, "crews", "abc", 0),
            Err(ResumeError::Altered)
        );
        assert_eq!(
            verify_resume_token(&key, &text, "crews", "abc", 1000),
            Err(ResumeError::Expired)
        );
        assert_eq!(
            verify_resume_token(&key, &text, "desks", "abc", 0),
            Err(ResumeError::OtherTeam)
        );
        assert_eq!(
            verify_resume_token(&key, &text, "crews", "xyz", 0),
            Err(ResumeError::OtherBody)
        );
    }
}
