//! Evaluation of policy definitions.
//!
//! All errors of a policy are collected and reported together.  Each names its position, quotes the
//! line and, where possible, has a suggestion.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::ops::Range;

use super::syntax::{self, Definition, Expr, ExprKind};

/// The value of an expression, with its type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value {
    /// A number without a unit.
    Number(f64),
    /// A duration, in seconds.
    Duration(f64),
    /// A boolean.
    Bool(bool),
}

impl Value {
    /// Returns the name of the type with its article, for error messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Number(_) => "a number",
            Value::Duration(_) => "a duration",
            Value::Bool(_) => "a boolean",
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

/// An error in a policy file, with its position.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyError {
    /// Name of the policy file.
    pub file: String,
    /// Line on which the definition starts, counted from 1.
    pub line: usize,
    /// Column of the error in `text`, in bytes, counted from 1.
    pub column: usize,
    /// Text of the definition, with its continuation lines joined.
    pub text: String,
    /// What is wrong, and what is allowed.
    pub message: String,
    /// Suggestion for a correction; `None` if there is none.
    pub hint: Option<String>,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)?;
        writeln!(f, "  | {}", self.text)?;
        write!(f, "  | {}^", " ".repeat(self.column.saturating_sub(1)))?;
        match &self.hint {
            Some(hint) => write!(f, " {hint}"),
            None => Ok(()),
        }
    }
}

/// A definition with its position in a policy file.
#[derive(Debug, Clone)]
pub struct SourcedDefinition {
    /// The parsed definition.
    pub definition: Definition,
    /// Name of the policy file.
    pub file: String,
    /// Line on which the definition starts, counted from 1.
    pub line: usize,
    /// Text of the definition, with its continuation lines joined and without comments.
    pub text: String,
}

impl SourcedDefinition {
    fn error(&self, span: &Range<usize>, message: String, hint: Option<String>) -> PolicyError {
        PolicyError {
            file: self.file.clone(),
            line: self.line,
            column: span.start + 1,
            text: self.text.clone(),
            message,
            hint,
        }
    }
}

/// Parses the text of a policy file into its definitions, and adds syntax errors to `errors`.
pub fn parse_file(file: &str, text: &str, errors: &mut Vec<PolicyError>) -> Vec<SourcedDefinition> {
    let mut joined_lines: Vec<(usize, String)> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let code = line.split('#').next().unwrap_or_default().trim_end();
        match joined_lines.last_mut() {
            Some(last) if code.starts_with([' ', '\t']) && !last.1.is_empty() => {
                last.1.push(' ');
                last.1.push_str(code.trim_start());
            }
            _ => joined_lines.push((index + 1, code.to_owned())),
        }
    }
    let mut definitions = Vec::new();
    for (line, text) in joined_lines.into_iter().filter(|joined| !joined.1.trim().is_empty()) {
        match syntax::parse(&text) {
            Ok(definition) => definitions.push(SourcedDefinition { definition, file: file.into(), line, text }),
            Err(at) => {
                let message = if text.len() > syntax::MAX_DEFINITION_BYTES {
                    "the definition is too long; it must end before this position"
                } else {
                    "syntax error"
                };
                let hint = (!text.contains('=')).then(|| "a definition has the form: name = expression".to_owned());
                errors.push(PolicyError {
                    file: file.into(),
                    line,
                    column: at + 1,
                    text,
                    message: message.into(),
                    hint,
                });
            }
        }
    }
    definitions
}

/// Why an expression has no value.
enum EvaluationError {
    /// The expression at this range is invalid, for this reason and with this suggestion.
    Invalid(Range<usize>, String, Option<String>),
    /// The expression uses another definition whose error is reported there.
    InvalidReference,
}

/// The state of an evaluation of policy definitions.  Each definition is evaluated once.
pub struct Evaluation<'a> {
    /// Definitions by name.  A definition in the operators' policy file has replaced the default one.
    pub definitions: &'a BTreeMap<String, SourcedDefinition>,
    /// Values of the platform's settings, by name.
    pub settings: &'a HashMap<String, Value>,
    /// Values of the definitions evaluated so far, by name; `None` for a definition with an error.
    pub values: HashMap<String, Option<Value>>,
    /// Errors found so far.
    pub errors: Vec<PolicyError>,
    /// Names of the definitions under evaluation, outermost first.
    in_progress: Vec<String>,
}

/// Returns a suggestion with the known name that is most similar to an unknown one, or `None` if no
/// known name is similar enough.
pub fn suggest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    known
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .min()
        .filter(|(distance, candidate)| *distance * 3 <= candidate.len().max(3))
        .map(|(_, candidate)| format!("did you mean {candidate}?"))
}

impl<'a> Evaluation<'a> {
    /// Creates an evaluation in which no definition is evaluated yet.
    pub fn new(definitions: &'a BTreeMap<String, SourcedDefinition>, settings: &'a HashMap<String, Value>) -> Self {
        Evaluation { definitions, settings, values: HashMap::new(), errors: Vec::new(), in_progress: Vec::new() }
    }

    /// Evaluates a definition, with the definitions that it uses, and adds errors to `errors`.
    ///
    /// Returns `None` if the definition does not exist or has an error.
    pub fn value(&mut self, name: &str) -> Option<Value> {
        if let Some(value) = self.values.get(name) {
            return *value;
        }
        let sourced = self.definitions.get(name)?;
        self.in_progress.push(name.into());
        let result = self.evaluate_expr(&sourced.definition.value);
        self.in_progress.pop();
        let value = match result {
            Ok(Value::Number(n) | Value::Duration(n)) if !n.is_finite() => {
                self.errors.push(sourced.error(
                    &sourced.definition.value.span,
                    format!("the value of {name} is not a finite number"),
                    None,
                ));
                None
            }
            Ok(value) => Some(value),
            Err(EvaluationError::Invalid(span, message, hint)) => {
                self.errors.push(sourced.error(&span, message, hint));
                None
            }
            Err(EvaluationError::InvalidReference) => None,
        };
        self.values.insert(name.into(), value);
        value
    }

    fn evaluate_expr(&mut self, expr: &Expr) -> Result<Value, EvaluationError> {
        let invalid = |message: String| EvaluationError::Invalid(expr.span.clone(), message, None);
        match &expr.kind {
            ExprKind::Number(n) => Ok(Value::Number(*n)),
            ExprKind::Duration(s) => Ok(Value::Duration(*s)),
            ExprKind::Bool(b) => Ok(Value::Bool(*b)),
            ExprKind::Name(name) => self.resolve_name(name, &expr.span),
            ExprKind::Unary(op, operand) => match (*op, self.evaluate_expr(operand)?) {
                ("-", Value::Number(n)) => Ok(Value::Number(-n)),
                ("-", Value::Duration(s)) => Ok(Value::Duration(-s)),
                ("not", Value::Bool(b)) => Ok(Value::Bool(!b)),
                (op, value) => Err(invalid(format!("operator `{op}` cannot be applied to {}", value.kind()))),
            },
            ExprKind::Binary(op, left, right) => {
                let (left, right) = (self.evaluate_expr(left)?, self.evaluate_expr(right)?);
                apply_operator(op, left, right).map_err(invalid)
            }
            ExprKind::If(c, a, b) => {
                let c = self.evaluate_expr(c)?;
                let Value::Bool(c) = c else { return Err(invalid(format!("`if` tests {}, not a boolean", c.kind()))) };
                // the branch that is not taken needs no value, so its errors are ignored
                let (a, b) = (self.evaluate_expr(a), self.evaluate_expr(b));
                if let (Ok(a), Ok(b)) = (&a, &b) {
                    if a.kind() != b.kind() {
                        return Err(invalid(format!(
                            "both branches of `if` must have the same type, but one is {} and the other {}",
                            a.kind(),
                            b.kind()
                        )));
                    }
                }
                if c {
                    a
                } else {
                    b
                }
            }
            ExprKind::Call(function, args) => {
                let mut values = Vec::new();
                for arg in args {
                    values.push(self.evaluate_expr(arg)?);
                }
                call_function(function, &values)
                    .map_err(|(message, hint)| EvaluationError::Invalid(expr.span.clone(), message, hint))
            }
        }
    }

    /// Returns the value of a setting or of another definition.
    fn resolve_name(&mut self, name: &str, span: &Range<usize>) -> Result<Value, EvaluationError> {
        if let Some(value) = self.settings.get(name) {
            return Ok(*value);
        }
        if self.in_progress.iter().any(|open| open == name) {
            let cycle = format!("{} -> {name}", self.in_progress.join(" -> "));
            return Err(EvaluationError::Invalid(span.clone(), format!("cyclic definition: {cycle}"), None));
        }
        if self.definitions.contains_key(name) {
            return self.value(name).ok_or(EvaluationError::InvalidReference);
        }
        let known = self.settings.keys().chain(self.definitions.keys()).map(String::as_str);
        Err(EvaluationError::Invalid(span.clone(), format!("unknown name {name}"), suggest(name, known)))
    }
}

/// Applies a binary operator, or returns why the operands do not allow it.
fn apply_operator(op: &str, left: Value, right: Value) -> Result<Value, String> {
    use Value::{Bool, Duration, Number};
    let type_error = || Err(format!("operator `{op}` cannot be applied to {} and {}", left.kind(), right.kind()));
    let compare = |a: f64, b: f64| match op {
        "<" => Some(a < b),
        "<=" => Some(a <= b),
        ">" => Some(a > b),
        ">=" => Some(a >= b),
        "==" => Some(a == b),
        "!=" => Some(a != b),
        _ => None,
    };
    if op == "/" && matches!(right, Number(0.0) | Duration(0.0)) {
        return Err("division by zero".into());
    }
    match (op, left, right) {
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
        (_, Number(a), Number(b)) | (_, Duration(a), Duration(b)) => match compare(a, b) {
            Some(result) => Ok(Bool(result)),
            None => type_error(),
        },
        _ => type_error(),
    }
}

/// Calls a built-in function, or returns an error message with an optional suggestion.
fn call_function(function: &str, args: &[Value]) -> Result<Value, (String, Option<String>)> {
    const FUNCTIONS: [&str; 5] = ["min", "max", "clamp", "floor", "ceil"];
    let err = |message: String| Err((message, None));
    if !FUNCTIONS.contains(&function) {
        return Err((format!("unknown function {function}"), suggest(function, FUNCTIONS.into_iter())));
    }
    let (mut numbers, mut durations) = (Vec::new(), Vec::new());
    for arg in args {
        match arg {
            Value::Number(n) => numbers.push(*n),
            Value::Duration(s) => durations.push(*s),
            Value::Bool(_) => return err(format!("{function} takes numbers or durations, not booleans")),
        }
    }
    let is_duration = !durations.is_empty();
    if is_duration && !numbers.is_empty() {
        return err(format!("the arguments of {function} must be either all numbers or all durations"));
    }
    let values = if is_duration { durations } else { numbers };
    let result = match (function, values.as_slice()) {
        ("min", [_, ..]) => values.iter().copied().fold(f64::INFINITY, f64::min),
        ("max", [_, ..]) => values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        ("clamp", [x, low, high]) if low <= high => x.clamp(*low, *high),
        ("clamp", [_, _, _]) => return err("the lower bound of clamp must not be above its upper bound".into()),
        ("floor", [x]) => x.floor(),
        ("ceil", [x]) => x.ceil(),
        _ => return err(format!("wrong number of arguments for {function}: {}; min and max take one or more, clamp takes three, floor and ceil take one", args.len())),
    };
    Ok(if is_duration { Value::Duration(result) } else { Value::Number(result) })
}
