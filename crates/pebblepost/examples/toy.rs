//! Toy workers to try pebblepost with, on loopback and with the standard library alone.
//!
//!     cargo run --example toy            # two HTTP workers, and a discovery that lists them
//!     cargo run --example toy faktory    # one Faktory worker with two slots
//!     cargo run --example toy push ID    # a Faktory producer of one job
//!
//! `examples/README.md` has the whole walk.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:18500";
const WORKERS: [&str; 2] = ["127.0.0.1:18501", "127.0.0.1:18502"];
const FAKTORY: &str = "127.0.0.1:7419";
const SLOTS: i32 = 2;

fn main() -> std::io::Result<()> {
    match std::env::args().nth(1).as_deref() {
        None => {
            for address in WORKERS {
                let listener = TcpListener::bind(address)?;
                let free = Arc::new(AtomicI32::new(SLOTS));
                println!("worker at {address}");
                thread::spawn(move || each(&listener, move |stream| work(stream, &free)));
            }
            println!("discovery at {DISCOVERY}");
            each(&TcpListener::bind(DISCOVERY)?, discover);
            Ok(())
        }
        Some("faktory") => {
            // Connections end with the program, or when the dispatcher goes.
            let slots: Vec<_> = (0..SLOTS).map(|_| thread::spawn(faktory)).collect();
            slots.into_iter().try_for_each(|slot| slot.join().unwrap_or(Ok(())))
        }
        Some("push") => push(&std::env::args().nth(2).unwrap_or_else(|| "j1".to_owned())),
        Some(_) => Err(std::io::Error::other("usage: toy [faktory | push ID]")),
    }
}

fn each(listener: &TcpListener, serve: impl Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static) {
    for stream in listener.incoming().flatten() {
        let serve = serve.clone();
        thread::spawn(move || serve(stream));
    }
}

/// First line, id and body of a request; `None`: the connection has ended.
fn request(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<(String, String, Vec<u8>)>> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if first.is_empty() {
            first = line.to_owned();
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
    Ok(Some((first, id, body)))
}

fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// A worker that turns a job's text to upper case, in its time.
fn work(mut stream: TcpStream, free: &AtomicI32) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some((first, id, body)) = request(&mut input)? {
        if first.starts_with("GET ") {
            let left = free.load(Ordering::SeqCst).max(0);
            let load = format!(
                "{{\"util\":{:.2},\"eps\":0.0,\"x0\":{left}}}",
                1.0 - f64::from(left) / f64::from(SLOTS)
            );
            stream.write_all(
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}", load.len()).as_bytes(),
            )?;
        } else if free.fetch_sub(1, Ordering::SeqCst) > 0 {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            chunk(&mut stream, &format!("{{\"id\":\"{id}\",\"state\":\"started\"}}\n"))?;
            thread::sleep(Duration::from_millis(300));
            free.fetch_add(1, Ordering::SeqCst);
            let text: String = String::from_utf8_lossy(&body).to_uppercase().escape_default().collect();
            println!("job {id} done");
            chunk(&mut stream, &format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{text}\"}}\n"))?;
            stream.write_all(b"0\r\n\r\n")?;
        } else {
            free.fetch_add(1, Ordering::SeqCst);
            stream.write_all(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")?;
        }
    }
    Ok(())
}

/// A discovery whose list never changes.
fn discover(mut stream: TcpStream) -> std::io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let host = |(i, dial): (usize, &&str)| {
        format!(
            "{{\"host\":\"toy-{i}\",\"dial\":\"{dial}\",\"site\":\"here\",\"class\":\"toy\",\"block\":0,\
             \"health\":\"ready\",\"share\":1.0,\"born_ms\":0}}"
        )
    };
    let hosts: Vec<String> = WORKERS.iter().enumerate().map(host).collect();
    let list = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}\n", hosts.join(","));
    while let Some((first, ..)) = request(&mut input)? {
        if first.contains("watch=1") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            chunk(&mut stream, &list)?;
            loop {
                thread::sleep(Duration::from_secs(2));
                chunk(&mut stream, "\n")?;
            }
        }
        stream.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes(),
        )?;
    }
    Ok(())
}

/// One slot of a Faktory worker.
fn faktory() -> std::io::Result<()> {
    static OUTPUT: Mutex<()> = Mutex::new(());
    let mut stream = TcpStream::connect(FAKTORY)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut line = || {
        let mut line = String::new();
        input.read_line(&mut line).map(|_| line.trim_end().to_owned())
    };
    let pid = std::process::id();
    line()?;
    stream.write_all(
        format!("HELLO {{\"v\":2,\"wid\":\"toy-{pid}\",\"hostname\":\"here\",\"pid\":{pid}}}\r\n").as_bytes(),
    )?;
    println!("hello: {}", line()?);
    loop {
        stream.write_all(b"FETCH default\r\n")?;
        match line()?.as_str() {
            "" => return Ok(()),
            "$-1" => continue,
            _ => {}
        }
        let job = line()?;
        // A job's id is plain text; a real worker uses a JSON parser.
        let jid = job.split("\"jid\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or_default();
        thread::sleep(Duration::from_millis(300));
        stream.write_all(format!("ACK {{\"jid\":\"{jid}\"}}\r\n").as_bytes())?;
        let reply = line()?;
        let _lock = OUTPUT.lock().unwrap_or_else(PoisonError::into_inner);
        println!("job {jid}: {reply}");
    }
}

/// A producer of one job.
fn push(jid: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(FAKTORY)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let job = format!("{{\"jid\":\"{jid}\",\"jobtype\":\"segment\",\"args\":[1]}}");
    stream.write_all(format!("HELLO {{\"v\":2}}\r\nPUSH {job}\r\nEND\r\n").as_bytes())?;
    for said in ["", "HELLO: ", "PUSH: "] {
        let mut line = String::new();
        input.read_line(&mut line)?;
        println!("{said}{}", line.trim_end());
    }
    Ok(())
}
