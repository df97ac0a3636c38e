//! Raw members of JSON objects, without an interpretation of their values.

/// Returns the raw value of a member of an object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let end = skip_value(bytes, at)?;
        let key = &text[at + 1..end - 1];
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = skip_value(bytes, start)?;
        if key == name {
            return Some(&text[start..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Returns the text of a member that is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    member(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a member that is a whole number.
pub fn number(object: &str, name: &str) -> Option<u64> {
    member(object, name)?.parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position after the value at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> Option<usize> {
    let (mut depth, mut in_text) = (0, false);
    let start = at;
    loop {
        let byte = *bytes.get(at)?;
        if in_text {
            match byte {
                b'\\' => at += 1,
                b'"' => in_text = false,
                _ => {}
            }
            at += 1;
            if !in_text && depth == 0 {
                return Some(at);
            }
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return (at > start).then_some(at),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            b',' if depth == 0 => return Some(at),
            _ if depth == 0 && byte.is_ascii_whitespace() => return Some(at),
            _ => {}
        }
        at += 1;
        if depth == 0 && !in_text && at == bytes.len() {
            return Some(at);
        }
    }
}
