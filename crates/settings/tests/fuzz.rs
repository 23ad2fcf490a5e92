//! Parsing any text as a contract yields findings or a valid contract, never a
//! panic, and the findings name the file.

use briarhall_settings::Document;
use briarhall_settings::contract_from;

const CONTRACT: &str = include_str!("../../../examples/contract-tidewire.yaml");

fn check(text: &str) {
    let contract = Document::parse("contract.yaml", text).and_then(|d| contract_from(&d));
    match contract {
        Ok(contract) => assert!(contract.problems().is_empty()),
        Err(findings) => {
            assert!(!findings.all().is_empty());
            assert!(findings.to_string().lines().all(|line| !line.is_empty()));
            assert!(findings.to_string().starts_with("contract.yaml"));
        }
    }
}

#[test]
fn any_text() {
    briarhall_fuzz::values::<String, _>(|text| check(text));
}

#[test]
fn a_contract_with_some_bytes_changed() {
    briarhall_fuzz::values::<Vec<(u16, u8)>, _>(|changes| {
        let mut text = CONTRACT.as_bytes().to_vec();
        for (offset, byte) in changes.iter().take(8) {
            let offset = usize::from(*offset) % text.len();
            text[offset] = *byte;
        }
        if let Ok(text) = String::from_utf8(text) {
            check(&text);
        }
    });
}

#[test]
fn a_contract_cut_off_anywhere() {
    for end in 0..CONTRACT.len() {
        if CONTRACT.is_char_boundary(end) {
            check(&CONTRACT[..end]);
        }
    }
}
