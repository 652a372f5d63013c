//! Unit tests of `src/client/service.rs`, which names this file.

use super::*;

#[test]
fn a_name_has_1_to_63_of_its_letters_and_stands_as_it_is() {
    let longest = "a".repeat(MAX_NAME);
    for good in ["a", "0", "search.eu-1", "-", ".", longest.as_str()] {
        let name: ServiceName = good.parse().expect(good);
        assert_eq!(name.to_string(), good);
    }
    let too_long = "a".repeat(MAX_NAME + 1);
    for bad in ["", "A", "a b", "a&b", "a=b", "a/b", "a%41", "a_b", "ä", "a\n", too_long.as_str()] {
        assert_eq!(bad.parse::<ServiceName>(), Err(InvalidServiceName), "{bad:?}");
    }
}
