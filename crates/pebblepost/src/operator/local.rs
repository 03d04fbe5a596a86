//! Requests to the agent of a single dispatcher.

use super::arguments::LocalAction;
use super::error::{AgentProblem, FleetError, Result};
use pebblepost_fleet::{Name, Text};
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a request to a dispatcher's agent and prints its reply.
pub(super) fn run(
    address: SocketAddr, action: LocalAction, worker: Option<&Name>, reason: &Text, timeout: Duration,
) -> Result<()> {
    let request = match action {
        LocalAction::Show => json!({"show": true}),
        LocalAction::Drain => json!({"drain": worker, "why": reason}),
        LocalAction::Undrain => json!({"undrain": worker}),
    };
    let reply = send_request(address, &request, timeout);
    let reply = reply.map_err(|problem| FleetError::Agent { address, problem })?;
    let _ = writeln!(std::io::stdout(), "{reply}");
    Ok(())
}

/// Sends a request as one line of JSON and reads one line as the reply.
fn send_request(
    address: SocketAddr, request: &Json, timeout: Duration,
) -> std::result::Result<Json, AgentProblem> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    writeln!(stream, "{request}")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let reply: Json = serde_json::from_str(&line)?;
    match reply.get("error").and_then(Json::as_str) {
        Some(reason) => Err(AgentProblem::Rejected(reason.to_owned())),
        None => Ok(reply),
    }
}
