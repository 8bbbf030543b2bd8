use super::*;
use proptest::prelude::*;

fn shown(e: &Expr) -> String {
    match &e.kind {
        Kind::Number(n) => format!("{n}"),
        Kind::Duration(s) => format!("{s}s"),
        Kind::Bool(b) => format!("{b}"),
        Kind::Name(n) => n.clone(),
        Kind::Unary(op, e) => format!("({op} {})", shown(e)),
        Kind::Binary(op, l, r) => format!("({} {op} {})", shown(l), shown(r)),
        Kind::If(c, a, b) => format!("(if {} then {} else {})", shown(c), shown(a), shown(b)),
        Kind::Call(n, args) => format!("{n}({})", args.iter().map(shown).collect::<Vec<_>>().join(", ")),
    }
}

#[test]
fn operators_bind_as_people_expect() {
    let p = |s: &str| shown(&parse(s).expect(s).value);
    assert_eq!(p("x = 1 + 2 * 3 - 4"), "((1 + (2 * 3)) - 4)");
    assert_eq!(p("x = a / b / c"), "((a / b) / c)");
    assert_eq!(
        p("x = if a < 3s and not b then 1 else min(2, c.d)"),
        "(if ((a < 3s) and (not b)) then 1 else min(2, c.d))"
    );
    assert_eq!(p("x = 200ms + 5min"), "(0.2s + 300s)");
    assert!(parse("x = 3 parsecs").is_err());
    assert!(parse("x = (1 + 2").is_err());
    assert!(parse("if = 1").is_err());
}

fn any_expr() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        (0u32..1000).prop_map(|n| n.to_string()),
        (1u32..1000).prop_map(|n| format!("{n}s")),
        "[a-h]{3}[.][a-h]{2}",
        Just("true".to_owned()),
    ];
    leaf.prop_recursive(3, 12, 3, |e| {
        prop_oneof![
            (e.clone(), prop_oneof!["[-+*/]", Just("<=".to_owned())], e.clone())
                .prop_map(|(a, o, b)| format!("({a} {o} {b})")),
            (e.clone(), e.clone(), e.clone()).prop_map(|(c, a, b)| format!("(if {c} then {a} else {b})")),
            (e.clone(), e).prop_map(|(a, b)| format!("max({a}, {b})")),
        ]
    })
}

proptest! {
    /// What is printed is read back as the same tree.
    #[test]
    fn printing_and_reading_agree(e in any_expr()) {
        prop_assume!(e.len() < 300);
        let once = shown(&parse(&format!("x = {e}")).map_err(|at| TestCaseError::fail(format!("{e} at {at}")))?.value);
        prop_assume!(once.len() < 380);
        let twice = shown(&parse(&format!("x = {once}")).map_err(|at| TestCaseError::fail(format!("{once} at {at}")))?.value);
        prop_assert_eq!(once, twice);
    }

    #[test]
    fn nothing_panics(text in ".{0,120}") {
        let _ = parse(&text);
    }
}
