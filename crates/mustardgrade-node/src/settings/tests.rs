//! Tests of the settings file of a host that places flows by rules.

use std::sync::atomic::{AtomicU32, Ordering};

use expect_test::expect;
use proptest::prelude::*;

use super::{HostSettings, SettingsReader};

const SAMPLE: &str = "\
[host]
name = medina-1
data_centre = tunis-medina
address = 127.0.1.1
[fabric]
return = 127.0.0.100:6080
[platform]
url = http://127.0.0.200:8500
[fleet]
secret_file = SECRET
peers = 127.0.1.2, 127.0.2.1
[flow]
placement = guarded
";

fn load_and_describe(text: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let file_name = format!("mustardgrade-secret-{}-{number}", std::process::id());
    let secret_path = std::env::temp_dir().join(file_name);
    std::fs::write(&secret_path, "a secret of many bytes\n").expect("the file can be written");
    let text = text.replace("SECRET", &secret_path.display().to_string());
    let settings = SettingsReader::parse("host.ini", &text)
        .and_then(|reader| HostSettings::from_reader(&reader));
    match settings {
        Ok(settings) => format!("{} {} {:?}", settings.name, settings.address, settings.seed_hosts),
        Err(error) => error.to_string().replace(&secret_path.display().to_string(), "SECRET"),
    }
}

#[test]
fn valid_settings_are_loaded() {
    expect!["medina-1 127.0.1.1 [127.0.1.2, 127.0.2.1]"].assert_eq(&load_and_describe(SAMPLE));
}

#[test]
fn errors_name_file_line_and_cause() {
    let edits = [
        ("name = medina-1", "nam = medina-1"),
        ("[fabric]", "[fabrik]"),
        ("address = 127.0.1.1", "address = 127.0.1"),
        ("data_centre = tunis-medina\n", ""),
        ("[platform]\nurl = http://127.0.0.200:8500\n", ""),
        ("placement = guarded", "placement = maglev"),
        ("placement = guarded", "traffic_threads = 99"),
        ("127.0.2.1", "lac"),
        ("secret_file = SECRET", "secret_file = /nonexistent/secret"),
        ("[host]", "[host"),
    ];
    let messages: Vec<String> =
        edits.iter().map(|(from, to)| load_and_describe(&SAMPLE.replace(from, to))).collect();
    expect![[r#"
        host.ini:2: unknown key 'nam'; did you mean 'name'?
        host.ini:5: unknown section 'fabrik'; did you mean 'fabric'?
        host.ini:4: 'address' is '127.0.1', expected an IPv4 address
        host.ini: section [host] lacks the key 'data_centre' (a name)
        host.ini: section [platform] is missing; it holds 'url' (a URL)
        host.ini:13: 'placement' is 'maglev', expected 'guarded' or 'computed'
        host.ini:13: 'traffic_threads' must lie between 1 and 16
        host.ini:11: 'peers' holds 'lac', expected IPv4 addresses
        host.ini:10: cannot read '/nonexistent/secret': No such file or directory (os error 2)
        host.ini:1: section header '[host' lacks its ']'"#]]
    .assert_eq(&messages.join("\n"));
}

proptest! {
    #[test]
    fn corrupted_settings_load_or_return_an_error(
        position in 0_usize..SAMPLE.len(),
        inserted in "[=\\[\\];x\n]{1,3}",
    ) {
        let text = format!("{}{inserted}{}", &SAMPLE[..position], &SAMPLE[position..]);
        let result = SettingsReader::parse("host.ini", &text)
            .and_then(|reader| HostSettings::from_reader(&reader));
        if let Err(error) = result {
            prop_assert!(error.to_string().starts_with("host.ini"));
        }
    }
}
