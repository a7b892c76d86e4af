//! Stores the first configuration in the platform's table.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

use rosemarypond::platform::Client;
use rosemarypond_core::config::{Document, Version};
use rosemarypond_edge::thread::Runtime;

use crate::client::Error;

/// Reads, checks and stores a configuration where there is none yet, and returns
/// its version.
///
/// # Errors
///
/// Where the file is invalid, a configuration is already stored, or no usable
/// answer came.
pub fn init(platform: SocketAddr, file: &Path) -> Result<Version, Error> {
    let invalid = |e: &dyn std::fmt::Display| Error::Usage(format!("{}: {e}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| invalid(&e))?;
    let mut json = String::new();
    json_comments::StripComments::new(text.as_bytes())
        .read_to_string(&mut json)
        .map_err(|e| invalid(&e))?;
    let document = Document::parse(json).map_err(|e| invalid(&e))?;
    let runtime = Runtime::new().map_err(|e| Error::Connection(e.to_string()))?;
    let client = Client::new(platform);
    let stored = runtime.block_on(client.put_config(Version::default(), &document, "init"));
    stored.map_err(|e| match e {
        rosemarypond::platform::Error::Conflict(version) => Error::Refused {
            status: 409,
            message: format!("Version {version} is in force already."),
        },
        other => Error::Connection(other.to_string()),
    })
}
