//! Authentication and roles of operators.
//!
//! A file named in the settings contains one line for each token:
//! `OPERATOR ROLE TOKEN`. Tokens are compared in constant time and never
//! logged.

use crate::kernel::{
    error::Error,
    settings, //
};
use hyper::{
    header::AUTHORIZATION,
    HeaderMap, //
};
use std::fmt;
use subtle::ConstantTimeEq;

/// Minimum length of a token.
const MIN_TOKEN_BYTES: usize = 16;

/// Permissions granted by a token; each role includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May read the services of its operator.
    View,
    /// May request plans.
    Plan,
    /// May confirm plans.
    Confirm,
}

/// A token and the operator that it authenticates.
#[derive(Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator, who owns the services that the token gives access to.
    pub name: Box<str>,
    /// Permissions of the token.
    pub role: Role,
    token: Box<str>,
}

impl fmt::Debug for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?})", self.name, self.role)
    }
}

/// Reads the file of operators and tokens.
pub fn read(path: &str) -> Result<Vec<Operator>, Error> {
    let text = settings::read_file(path)?;
    let mut operators = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let operator = parse(line).ok_or_else(|| Error::Settings {
            path: path.into(),
            detail: format!(
                "line {}: expected `OPERATOR ROLE TOKEN`, where ROLE is view, plan or confirm and \
                 TOKEN has at least {MIN_TOKEN_BYTES} bytes",
                index + 1
            )
            .into(),
        })?;
        operators.push(operator);
    }
    Ok(operators)
}

fn parse(line: &str) -> Option<Operator> {
    let mut fields = line.split_whitespace();
    let name = fields.next()?;
    let role = match fields.next()? {
        "view" => Role::View,
        "plan" => Role::Plan,
        "confirm" => Role::Confirm,
        _ => return None,
    };
    let token = fields
        .next()
        .filter(|token| token.len() >= MIN_TOKEN_BYTES)?;
    fields.next().is_none().then(|| Operator {
        name: name.into(),
        role,
        token: token.into(),
    })
}

/// Returns the operator whose token is in the headers of a request.
///
/// Compares all tokens, so that the time does not depend on which one matches.
pub fn authenticate<'a>(operators: &'a [Operator], headers: &HeaderMap) -> Option<&'a Operator> {
    let field = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let token = field.strip_prefix("Bearer ")?;
    let mut found = None;
    for operator in operators {
        if bool::from(operator.token.as_bytes().ct_eq(token.as_bytes())) {
            found = Some(operator);
        }
    }
    found
}
