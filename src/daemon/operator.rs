//! Operators and what they may do.
//!
//! A file named in the settings holds a line for each token:
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

/// Shortest token, in bytes.
const TOKEN_MIN: usize = 16;

/// What the holder of a token may do; each role includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Read its services.
    View,
    /// Draw plans.
    Plan,
    /// Confirm plans.
    Confirm,
}

/// Holder of a token.
#[derive(Clone, PartialEq, Eq)]
pub struct Operator {
    /// Operator whose services the token is for.
    pub name: Box<str>,
    /// What the token allows.
    pub role: Role,
    token: Box<str>,
}

impl fmt::Debug for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?})", self.name, self.role)
    }
}

/// Reads the operators' file.
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
                "line {}: expected OPERATOR, then view, plan or confirm, then a token of at \
                 least {TOKEN_MIN} characters",
                index + 1
            )
            .into(),
        })?;
        operators.push(operator);
    }
    Ok(operators)
}

fn parse(line: &str) -> Option<Operator> {
    let mut words = line.split_whitespace();
    let name = words.next()?;
    let role = match words.next()? {
        "view" => Role::View,
        "plan" => Role::Plan,
        "confirm" => Role::Confirm,
        _ => return None,
    };
    let token = words.next().filter(|token| token.len() >= TOKEN_MIN)?;
    words.next().is_none().then(|| Operator {
        name: name.into(),
        role,
        token: token.into(),
    })
}

/// Finds the operator whose token a request shows.
pub fn authenticate<'a>(operators: &'a [Operator], headers: &HeaderMap) -> Option<&'a Operator> {
    let field = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let given = field.strip_prefix("Bearer ")?;
    let mut found = None;
    for operator in operators {
        if bool::from(operator.token.as_bytes().ct_eq(given.as_bytes())) {
            found = Some(operator);
        }
    }
    found
}
