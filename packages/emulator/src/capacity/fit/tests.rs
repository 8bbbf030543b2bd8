use super::*;
use proptest::prelude::*;

proptest! {
    /// Points of a plane give that plane back, and nothing is left.
    #[test]
    fn a_plane_is_found_again(
        constant in -5.0f64..5.0,
        slopes in prop::array::uniform2(-5.0f64..5.0),
        at in prop::collection::vec(prop::array::uniform2(1.0f64..100.0), 6..20),
    ) {
        let value = |at: &[f64; 2]| constant + slopes[0] * at[0] + slopes[1] * at[1];
        let points: Vec<Point> = at.iter().map(|at| Point { at: *at, value: value(at) }).collect();
        if let Some(f) = fit(&points) {
            for p in &points {
                prop_assert!((f.at(p.at) - p.value).abs() < 1e-3, "{f:?} at {p:?}");
            }
            prop_assert!(f.residual < 1e-3);
        }
    }
}

/// A line in one variable, with what it misses and how far a value lies beyond it.
#[test]
fn a_line_says_what_it_misses() {
    let point = |x, value| Point { at: [x, 0.0], value };
    let f = fit(&[point(0.0, 1.0), point(1.0, 3.0), point(2.0, 5.0), point(2.0, 6.0), point(2.0, 4.0)]);
    let f = f.expect("five points");
    assert!((f.constant - 1.0).abs() < 1e-9 && (f.slopes[0] - 2.0).abs() < 1e-9);
    assert!((f.residual - (2.0f64 / 5.0).sqrt()).abs() < 1e-9);
    assert_eq!((f.beyond([8.0, 0.0]), f.points), (4.0, 5));
    assert!(fit(&[point(1.0, 1.0), point(1.0, 2.0), point(1.0, 3.0)]).is_none(), "all at one place");
    assert!(fit(&[point(1.0, 1.0)]).is_none());
}
