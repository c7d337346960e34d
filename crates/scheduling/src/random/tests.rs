use super::*;

#[test]
fn equal_seeds_give_equal_fractions_within_zero_and_one() {
    let (mut one, mut other) = (RandomSource::new(7), RandomSource::new(7));
    let mut sum = 0.0;
    for _ in 0..1000 {
        let fraction = one.next_fraction();
        assert_eq!(fraction, other.next_fraction());
        assert!((0.0..1.0).contains(&fraction));
        sum += fraction;
    }
    assert!((450.0..550.0).contains(&sum), "the mean is a half, not {}", sum / 1000.0);
}
