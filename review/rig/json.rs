//! Reading of small JSON documents.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(b, at)?;
                        skip(b, at);
                        *at += 1;
                        fields.push((name, value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(b, at)?),
                }
            }
        }
        b'"' => string(b, at).map(Json::Str),
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        b't' => {
            *at += 4;
            Some(Json::Bool)
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool)
        }
        _ => {
            let from = *at;
            while b
                .get(*at)
                .is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c))
            {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at])
                .ok()?
                .parse()
                .ok()
                .map(Json::Num)
        }
    }
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                // The values of these messages need no other escapes.
                out.push(*b.get(*at + 1)?);
                *at += 2;
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}
