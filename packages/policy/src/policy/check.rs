//! The checker: all errors of a policy in one go, each with its place, the
//! line itself and, where one can be made, a suggestion.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::ops::Range;

use super::syntax::{self, Definition, Expr, Kind};

/// A value with its type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value {
    /// A plain number.
    Number(f64),
    /// A duration in seconds.
    Duration(f64),
    /// A truth value.
    Bool(bool),
}

impl Value {
    /// The type's name.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Number(_) => "a number",
            Value::Duration(_) => "a duration",
            Value::Bool(_) => "a truth value",
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Number(n) => write!(f, "{n}"),
            Value::Duration(s) if *s < 1.0 => write!(f, "{:.0}ms", s * 1000.0),
            Value::Duration(s) => write!(f, "{s:.2}s"),
            Value::Bool(b) => write!(f, "{b}"),
        }
    }
}

/// What a policy file gets wrong, and where.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// The line itself.
    pub text: String,
    /// What is wrong.
    pub what: String,
    /// What may have been meant.
    pub hint: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.what)?;
        writeln!(f, "  | {}", self.text)?;
        write!(f, "  | {}^", " ".repeat(self.column.saturating_sub(1)))?;
        match &self.hint {
            Some(h) => write!(f, " {h}"),
            None => Ok(()),
        }
    }
}

/// A definition with its source.
#[derive(Debug, Clone)]
pub struct Sourced {
    /// What it says.
    pub definition: Definition,
    /// Where.
    pub file: String,
    /// First line of it, from 1.
    pub line: usize,
    /// Its text, continuation lines joined.
    pub text: String,
}

impl Sourced {
    fn fault(&self, span: &Range<usize>, what: String, hint: Option<String>) -> Fault {
        Fault { file: self.file.clone(), line: self.line, column: span.start + 1, text: self.text.clone(), what, hint }
    }
}

/// Splits a file into definitions.
pub fn read(file: &str, text: &str, faults: &mut Vec<Fault>) -> Vec<Sourced> {
    let mut pieces: Vec<(usize, String)> = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let bare = line.split('#').next().unwrap_or_default().trim_end();
        match pieces.last_mut() {
            Some(last) if bare.starts_with([' ', '\t']) && !last.1.is_empty() => {
                last.1.push(' ');
                last.1.push_str(bare.trim_start());
            }
            _ => pieces.push((n + 1, bare.to_owned())),
        }
    }
    let mut all = Vec::new();
    for (line, text) in pieces.into_iter().filter(|p| !p.1.trim().is_empty()) {
        match syntax::parse(&text) {
            Ok(definition) => all.push(Sourced { definition, file: file.into(), line, text }),
            Err(at) => {
                let what =
                    if text.len() > syntax::MOST_LENGTH { "the definition is too long" } else { "this can't be read" };
                let hint = (!text.contains('=')).then(|| "a definition is: name = expression".to_owned());
                faults.push(Fault { file: file.into(), line, column: at + 1, text, what: what.into(), hint });
            }
        }
    }
    all
}

/// Why an expression has no value.
enum Bad {
    /// Reported here.
    Here(Range<usize>, String, Option<String>),
    /// Reported where it went wrong first.
    Elsewhere,
}

/// Works out definitions, each once.
pub struct Evaluation<'a> {
    /// Definitions by name; a later file replaces single ones.
    pub definitions: &'a BTreeMap<String, Sourced>,
    /// The platform's settings.
    pub settings: &'a HashMap<String, Value>,
    /// What came of them; `None` for those at fault.
    pub values: HashMap<String, Option<Value>>,
    /// Errors found.
    pub faults: Vec<Fault>,
    open: Vec<String>,
}

/// The known name most like an unknown one.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    known
        .map(|k| (strsim::damerau_levenshtein(name, k), k))
        .min()
        .filter(|(d, k)| *d * 3 <= k.len().max(3))
        .map(|(_, k)| format!("did you mean {k}?"))
}

impl<'a> Evaluation<'a> {
    /// Nothing worked out yet.
    pub fn new(definitions: &'a BTreeMap<String, Sourced>, settings: &'a HashMap<String, Value>) -> Self {
        Evaluation { definitions, settings, values: HashMap::new(), faults: Vec::new(), open: Vec::new() }
    }

    /// The value of a definition.
    pub fn value(&mut self, name: &str) -> Option<Value> {
        if let Some(v) = self.values.get(name) {
            return *v;
        }
        let d = self.definitions.get(name)?;
        self.open.push(name.into());
        let result = self.expr(&d.definition.value);
        self.open.pop();
        let value = match result {
            Ok(Value::Number(n) | Value::Duration(n)) if !n.is_finite() => {
                self.faults.push(d.fault(&d.definition.value.span, format!("{name} is not finite"), None));
                None
            }
            Ok(v) => Some(v),
            Err(Bad::Here(span, what, hint)) => {
                self.faults.push(d.fault(&span, what, hint));
                None
            }
            Err(Bad::Elsewhere) => None,
        };
        self.values.insert(name.into(), value);
        value
    }

    fn expr(&mut self, e: &Expr) -> Result<Value, Bad> {
        let here = |what: String| Bad::Here(e.span.clone(), what, None);
        match &e.kind {
            Kind::Number(n) => Ok(Value::Number(*n)),
            Kind::Duration(s) => Ok(Value::Duration(*s)),
            Kind::Bool(b) => Ok(Value::Bool(*b)),
            Kind::Name(n) => self.name(n, &e.span),
            Kind::Unary(op, x) => match (*op, self.expr(x)?) {
                ("-", Value::Number(n)) => Ok(Value::Number(-n)),
                ("-", Value::Duration(s)) => Ok(Value::Duration(-s)),
                ("not", Value::Bool(b)) => Ok(Value::Bool(!b)),
                (op, v) => Err(here(format!("`{op}` can't be applied to {}", v.kind()))),
            },
            Kind::Binary(op, l, r) => {
                let (l, r) = (self.expr(l)?, self.expr(r)?);
                binary(op, l, r).map_err(here)
            }
            Kind::If(c, a, b) => {
                let c = self.expr(c)?;
                let Value::Bool(c) = c else { return Err(here(format!("the condition is {}", c.kind()))) };
                // the branch not taken has no need of a value
                let (a, b) = (self.expr(a), self.expr(b));
                if let (Ok(a), Ok(b)) = (&a, &b) {
                    if a.kind() != b.kind() {
                        return Err(here(format!("one branch is {}, the other {}", a.kind(), b.kind())));
                    }
                }
                if c {
                    a
                } else {
                    b
                }
            }
            Kind::Call(f, args) => {
                let mut values = Vec::new();
                for a in args {
                    values.push(self.expr(a)?);
                }
                call(f, &values).map_err(|(what, hint)| Bad::Here(e.span.clone(), what, hint))
            }
        }
    }

    fn name(&mut self, n: &str, span: &Range<usize>) -> Result<Value, Bad> {
        if let Some(v) = self.settings.get(n) {
            return Ok(*v);
        }
        if self.open.iter().any(|o| o == n) {
            let way = format!("{} -> {n}", self.open.join(" -> "));
            return Err(Bad::Here(span.clone(), format!("goes in a circle: {way}"), None));
        }
        if self.definitions.contains_key(n) {
            return self.value(n).ok_or(Bad::Elsewhere);
        }
        let known = self.settings.keys().chain(self.definitions.keys()).map(String::as_str);
        Err(Bad::Here(span.clone(), format!("unknown name {n}"), nearest(n, known)))
    }
}

fn binary(op: &str, l: Value, r: Value) -> Result<Value, String> {
    use Value::{Bool, Duration, Number};
    let wrong = || Err(format!("`{op}` can't be applied to {} and {}", l.kind(), r.kind()));
    let order = |a: f64, b: f64| match op {
        "<" => Some(a < b),
        "<=" => Some(a <= b),
        ">" => Some(a > b),
        ">=" => Some(a >= b),
        "==" => Some(a == b),
        "!=" => Some(a != b),
        _ => None,
    };
    if op == "/" && matches!(r, Number(0.0) | Duration(0.0)) {
        return Err("division by zero".into());
    }
    match (op, l, r) {
        ("+", Number(a), Number(b)) => Ok(Number(a + b)),
        ("-", Number(a), Number(b)) => Ok(Number(a - b)),
        ("+", Duration(a), Duration(b)) => Ok(Duration(a + b)),
        ("-", Duration(a), Duration(b)) => Ok(Duration(a - b)),
        ("*", Number(a), Number(b)) => Ok(Number(a * b)),
        ("*", Duration(a), Number(b)) | ("*", Number(a), Duration(b)) => Ok(Duration(a * b)),
        ("/", Number(a), Number(b)) | ("/", Duration(a), Duration(b)) => Ok(Number(a / b)),
        ("/", Duration(a), Number(b)) => Ok(Duration(a / b)),
        ("and", Bool(a), Bool(b)) => Ok(Bool(a && b)),
        ("or", Bool(a), Bool(b)) => Ok(Bool(a || b)),
        ("==", Bool(a), Bool(b)) => Ok(Bool(a == b)),
        ("!=", Bool(a), Bool(b)) => Ok(Bool(a != b)),
        (_, Number(a), Number(b)) | (_, Duration(a), Duration(b)) => match order(a, b) {
            Some(b) => Ok(Bool(b)),
            None => wrong(),
        },
        _ => wrong(),
    }
}

fn call(f: &str, args: &[Value]) -> Result<Value, (String, Option<String>)> {
    const KNOWN: [&str; 5] = ["min", "max", "clamp", "floor", "ceil"];
    let err = |what: String| Err((what, None));
    if !KNOWN.contains(&f) {
        return Err((format!("unknown function {f}"), nearest(f, KNOWN.into_iter())));
    }
    let (mut numbers, mut durations) = (Vec::new(), Vec::new());
    for a in args {
        match a {
            Value::Number(n) => numbers.push(*n),
            Value::Duration(s) => durations.push(*s),
            Value::Bool(_) => return err(format!("{f} takes numbers or durations")),
        }
    }
    let duration = !durations.is_empty();
    if duration && !numbers.is_empty() {
        return err(format!("{f} is given numbers and durations"));
    }
    let v = if duration { durations } else { numbers };
    let result = match (f, v.as_slice()) {
        ("min", [_, ..]) => v.iter().copied().fold(f64::INFINITY, f64::min),
        ("max", [_, ..]) => v.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        ("clamp", [x, low, high]) if low <= high => x.clamp(*low, *high),
        ("clamp", [_, _, _]) => return err("clamp's bounds are the wrong way round".into()),
        ("floor", [x]) => x.floor(),
        ("ceil", [x]) => x.ceil(),
        _ => return err(format!("{f} is given {} values", args.len())),
    };
    Ok(if duration { Value::Duration(result) } else { Value::Number(result) })
}
