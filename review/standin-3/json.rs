//! Reading of small JSON texts.

use std::io;

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(bytes: &[u8]) -> io::Result<Self> {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let mut reader = Reader {
            text: text.chars().collect(),
            at: 0,
        };
        reader
            .value()
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no JSON"))
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(rows) => rows
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn int(&self) -> i64 {
        match self {
            Self::Number(n) => *n as i64,
            _ => 0,
        }
    }
}

struct Reader {
    text: Vec<char>,
    at: usize,
}

impl Reader {
    fn peek(&mut self) -> Option<char> {
        while self.text.get(self.at)?.is_whitespace() {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, c: char) -> Option<()> {
        (self.peek()? == c).then(|| self.at += 1)
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.text.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let e = *self.text.get(self.at)?;
                    self.at += 1;
                    match e {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let hex: String = self.text.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            text.push(
                                char::from_u32(u32::from_str_radix(&hex, 16).ok()?).unwrap_or('?'),
                            );
                        }
                        e => text.push(e),
                    }
                }
                c => text.push(c),
            }
        }
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '"' => self.string().map(Json::Text),
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != ']' {
                    items.push(self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            '{' => {
                self.at += 1;
                let mut rows = Vec::new();
                while self.peek()? != '}' {
                    let name = self.string()?;
                    self.take(':')?;
                    rows.push((name, self.value()?));
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(rows))
            }
            _ => {
                let mut word = String::new();
                while let Some(c) = self
                    .text
                    .get(self.at)
                    .filter(|c| !",]} \n\t\r".contains(**c))
                {
                    word.push(*c);
                    self.at += 1;
                }
                Some(word.parse().map_or(Json::Null, Json::Number))
            }
        }
    }
}

/// Writes a text as JSON.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
