//! Minimal workers, discovery and producer for trying out pebblepost. They run on loopback and use only the standard library.
//!
//!     cargo run --example toy            # two HTTP workers and a discovery server that lists them
//!     cargo run --example toy faktory    # one Faktory worker with two slots
//!     cargo run --example toy push ID    # a Faktory producer of one job
//!
//! `examples/README.md` describes the complete procedure.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const DISCOVERY_ADDRESS: &str = "127.0.0.1:18500";
const WORKER_ADDRESSES: [&str; 2] = ["127.0.0.1:18501", "127.0.0.1:18502"];
const FAKTORY_ADDRESS: &str = "127.0.0.1:7419";
const SLOTS_PER_WORKER: i32 = 2;

fn main() -> std::io::Result<()> {
    match std::env::args().nth(1).as_deref() {
        None => {
            for address in WORKER_ADDRESSES {
                let listener = TcpListener::bind(address)?;
                let free_slots = Arc::new(AtomicI32::new(SLOTS_PER_WORKER));
                println!("worker at {address}");
                thread::spawn(move || accept_all(&listener, move |stream| serve_worker(stream, &free_slots)));
            }
            println!("discovery at {DISCOVERY_ADDRESS}");
            accept_all(&TcpListener::bind(DISCOVERY_ADDRESS)?, serve_discovery);
            Ok(())
        }
        Some("faktory") => {
            // A slot runs until the dispatcher closes its connection.
            let slots: Vec<_> = (0..SLOTS_PER_WORKER).map(|_| thread::spawn(run_faktory_slot)).collect();
            slots.into_iter().try_for_each(|slot| slot.join().unwrap_or(Ok(())))
        }
        Some("push") => push_job(&std::env::args().nth(2).unwrap_or_else(|| "j1".to_owned())),
        Some(_) => Err(std::io::Error::other("usage: toy [faktory | push ID]")),
    }
}

/// Serves each connection on a thread of its own.
fn accept_all(
    listener: &TcpListener, serve: impl Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static,
) {
    for stream in listener.incoming().flatten() {
        let serve = serve.clone();
        thread::spawn(move || serve(stream));
    }
}

/// Reads a request and returns its request line, id and body; `None` if the connection has ended.
fn read_request(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<(String, String, Vec<u8>)>> {
    let (mut request_line, mut id, mut length) = (String::new(), String::new(), 0);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if request_line.is_empty() {
            request_line = line.to_owned();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            match name.to_ascii_lowercase().as_str() {
                "x-txn" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap_or(0).min(64 * 1024),
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(Some((request_line, id, body)))
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Serves a worker's connection. A job converts its text to upper case and takes 300 ms.
fn serve_worker(mut stream: TcpStream, free_slots: &AtomicI32) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some((request_line, id, body)) = read_request(&mut input)? {
        if request_line.starts_with("GET ") {
            let available = free_slots.load(Ordering::SeqCst).max(0);
            let load = format!(
                "{{\"util\":{:.2},\"eps\":0.0,\"x0\":{available}}}",
                1.0 - f64::from(available) / f64::from(SLOTS_PER_WORKER)
            );
            stream.write_all(
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}", load.len()).as_bytes(),
            )?;
        } else if free_slots.fetch_sub(1, Ordering::SeqCst) > 0 {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            write_chunk(&mut stream, &format!("{{\"id\":\"{id}\",\"state\":\"started\"}}\n"))?;
            thread::sleep(Duration::from_millis(300));
            free_slots.fetch_add(1, Ordering::SeqCst);
            let text: String = String::from_utf8_lossy(&body).to_uppercase().escape_default().collect();
            println!("job {id} done");
            write_chunk(
                &mut stream,
                &format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{text}\"}}\n"),
            )?;
            stream.write_all(b"0\r\n\r\n")?;
        } else {
            free_slots.fetch_add(1, Ordering::SeqCst);
            stream.write_all(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")?;
        }
    }
    Ok(())
}

/// Serves a connection to a discovery server whose list never changes.
fn serve_discovery(mut stream: TcpStream) -> std::io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let host = |(i, dial): (usize, &&str)| {
        format!(
            "{{\"host\":\"toy-{i}\",\"dial\":\"{dial}\",\"site\":\"here\",\"class\":\"toy\",\"block\":0,\
             \"health\":\"ready\",\"share\":1.0,\"born_ms\":0}}"
        )
    };
    let hosts: Vec<String> = WORKER_ADDRESSES.iter().enumerate().map(host).collect();
    let list = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}\n", hosts.join(","));
    while let Some((request_line, ..)) = read_request(&mut input)? {
        if request_line.contains("watch=1") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            write_chunk(&mut stream, &list)?;
            loop {
                thread::sleep(Duration::from_secs(2));
                write_chunk(&mut stream, "\n")?;
            }
        }
        stream.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes(),
        )?;
    }
    Ok(())
}

/// Runs one slot of a Faktory worker.
fn run_faktory_slot() -> std::io::Result<()> {
    static OUTPUT: Mutex<()> = Mutex::new(());
    let mut stream = TcpStream::connect(FAKTORY_ADDRESS)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut read_line = || {
        let mut line = String::new();
        input.read_line(&mut line).map(|_| line.trim_end().to_owned())
    };
    let pid = std::process::id();
    read_line()?;
    stream.write_all(
        format!("HELLO {{\"v\":2,\"wid\":\"toy-{pid}\",\"hostname\":\"here\",\"pid\":{pid}}}\r\n").as_bytes(),
    )?;
    println!("hello: {}", read_line()?);
    loop {
        stream.write_all(b"FETCH default\r\n")?;
        match read_line()?.as_str() {
            "" => return Ok(()),
            "$-1" => continue,
            _ => {}
        }
        let job = read_line()?;
        // Finds the id without a JSON parser, which works only for ids without escapes.
        let jid = job.split("\"jid\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or_default();
        thread::sleep(Duration::from_millis(300));
        stream.write_all(format!("ACK {{\"jid\":\"{jid}\"}}\r\n").as_bytes())?;
        let reply = read_line()?;
        let _lock = OUTPUT.lock().unwrap_or_else(PoisonError::into_inner);
        println!("job {jid}: {reply}");
    }
}

/// Pushes one job as a Faktory producer and prints the replies.
fn push_job(jid: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(FAKTORY_ADDRESS)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let job = format!("{{\"jid\":\"{jid}\",\"jobtype\":\"segment\",\"args\":[1]}}");
    stream.write_all(format!("HELLO {{\"v\":2}}\r\nPUSH {job}\r\nEND\r\n").as_bytes())?;
    for label in ["", "HELLO: ", "PUSH: "] {
        let mut line = String::new();
        input.read_line(&mut line)?;
        println!("{label}{}", line.trim_end());
    }
    Ok(())
}
