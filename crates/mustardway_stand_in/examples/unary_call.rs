//! Measures the latency of unary calls on loopback and where the time is spent.
//!
//! Each row times sequential calls or 64 concurrent ones over one client. The
//! rows differ in the server (plain TCP or gRPC) and in the threads that client
//! and server use.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mustardway_stand_in::deployment::table::Table;
use mustardway_stand_in::{fabric, listener};
use mustardway_wire::packet::{Front, FrontClient, FrontServer, Header, Packet, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use volo_grpc::server::{Server, ServiceBuilder};
use volo_grpc::{Request, Response, Status};

/// Untimed warm-up calls.
const WARM_UP_CALLS: usize = 500;

/// Timed calls in each row.
const CALLS: usize = 5_000;

/// Concurrent calls in the rows whose name ends in "at once".
const CONCURRENCY: usize = 64;

/// Bytes of one TCP echo.
const ECHO_BYTES: usize = 100;

/// Longest latency that the histogram distinguishes, in nanoseconds; longer ones are
/// recorded as this value.
const LATENCY_MAX_NANOS: u64 = 10_000_000_000;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Answers every packet immediately with an empty reply.
struct EmptyReply;

impl Front for EmptyReply {
    async fn send(&self, _request: Request<Packet>) -> Result<Response<Reply>, Status> {
        Ok(Response::new(Reply::default()))
    }
}

type Latencies = Histogram<u64>;

fn main() {
    let mut table = Table::new(&["call", "p50 us", "p99 us", "calls/s"]);
    let many = || Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let one = || Builder::new_current_thread().enable_all().build().expect("a runtime");

    let row = one().block_on(async { tcp_round_trips(serve_tcp_echo(true).await).await });
    add_row(&mut table, "plain TCP, one thread in all", &row);
    let server = Remote::start();
    let row = one().block_on(tcp_round_trips(server.plain));
    add_row(&mut table, "plain TCP, a thread each side", &row);
    let row = one().block_on(tcp_round_trips(server.plain_delayed));
    add_row(&mut table, "plain TCP, a thread each side, server without TCP_NODELAY", &row);

    let row = one().block_on(async { sequential(&fabric::client(serve_front().await)).await });
    add_row(&mut table, "unary, one thread in all", &row);
    let row = one().block_on(sequential(&fabric::client(server.front)));
    add_row(&mut table, "unary, a thread each side", &row);
    let row = many().block_on(async { sequential(&fabric::client(serve_front().await)).await });
    add_row(&mut table, "unary, one pool of workers", &row);
    let row = many().block_on(sequential(&fabric::client(server.front)));
    add_row(&mut table, "unary, pool of workers to a thread", &row);
    let pool = many();
    let front = pool.block_on(serve_front());
    let row = many().block_on(sequential(&fabric::client(front)));
    add_row(&mut table, "unary, a pool each side", &row);
    let row = many().block_on(new_connections(front));
    add_row(&mut table, "unary, a pool each side, new connection each", &row);
    let row = many().block_on(async {
        let client = fabric::client(front);
        tokio::spawn(async move { sequential(&client).await }).await.expect("a result")
    });
    add_row(&mut table, "unary, a pool each side, from a worker", &row);
    let row = many().block_on(concurrent(&fabric::client(front)));
    add_row(&mut table, "unary, a pool each side, 64 at once", &row);
    let row = one().block_on(concurrent(&fabric::client(server.front)));
    add_row(&mut table, "unary, a thread each side, 64 at once", &row);
    print!("{table}");
}

/// Servers on a runtime with one worker thread, separate from the client.
struct Remote {
    plain: SocketAddr,
    plain_delayed: SocketAddr,
    front: SocketAddr,
    _runtime: Runtime,
}

impl Remote {
    fn start() -> Remote {
        let runtime =
            Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime");
        let (plain, plain_delayed, front) = runtime.block_on(async {
            (serve_tcp_echo(true).await, serve_tcp_echo(false).await, serve_front().await)
        });
        Remote { plain, plain_delayed, front, _runtime: runtime }
    }
}

async fn serve_front() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (incoming, switch) = listener::listen(any).await.expect("a free port");
    let server =
        Server::new().add_service(ServiceBuilder::new(FrontServer::new(EmptyReply)).build());
    let address = switch.address();
    tokio::spawn(async move {
        let _switch = switch;
        let _ = server.run_with_shutdown(incoming, std::future::pending()).await;
    });
    address
}

async fn serve_tcp_echo(nodelay: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(nodelay);
            tokio::spawn(async move {
                let mut bytes = [0; ECHO_BYTES];
                while stream.read_exact(&mut bytes).await.is_ok() {
                    let _ = stream.write_all(&bytes).await;
                }
            });
        }
    });
    address
}

async fn tcp_round_trips(address: SocketAddr) -> Latencies {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let mut latencies = empty_histogram();
    for index in 0..WARM_UP_CALLS + CALLS {
        let start = Instant::now();
        let mut bytes = [0; ECHO_BYTES];
        stream.write_all(&bytes).await.expect("a write");
        stream.read_exact(&mut bytes).await.expect("a read");
        record(&mut latencies, index, start.elapsed());
    }
    latencies
}

async fn sequential(client: &FrontClient) -> Latencies {
    let mut latencies = empty_histogram();
    for index in 0..WARM_UP_CALLS + CALLS {
        let took = timed(call(client)).await;
        record(&mut latencies, index, took);
    }
    latencies
}

async fn new_connections(address: SocketAddr) -> Latencies {
    let mut latencies = empty_histogram();
    for index in 0..WARM_UP_CALLS + CALLS / 10 {
        let client = fabric::client(address);
        let took = timed(call(&client)).await;
        record(&mut latencies, index, took);
    }
    latencies
}

async fn concurrent(client: &FrontClient) -> Latencies {
    sequential(client).await;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CONCURRENCY {
        let client = client.clone();
        tasks.spawn(async move {
            let mut took = Vec::with_capacity(CALLS / 8);
            for _ in 0..CALLS / 8 {
                took.push(timed(call(&client)).await);
            }
            took
        });
    }
    let mut latencies = empty_histogram();
    while let Some(took) = tasks.join_next().await {
        for one in took.expect("a task") {
            record(&mut latencies, WARM_UP_CALLS, one);
        }
    }
    latencies
}

async fn call(client: &FrontClient) {
    let packet = Packet { header: Some(Header::default()), ..Packet::default() };
    client.send(packet).await.expect("a reply");
}

async fn timed(call: impl Future<Output = ()>) -> Duration {
    let start = Instant::now();
    call.await;
    start.elapsed()
}

fn empty_histogram() -> Latencies {
    Histogram::new_with_max(LATENCY_MAX_NANOS, LATENCY_DIGITS).expect("constant bounds")
}

fn record(latencies: &mut Latencies, index: usize, took: Duration) {
    if index >= WARM_UP_CALLS {
        latencies.saturating_record(took.as_nanos() as u64);
    }
}

fn add_row(table: &mut Table, name: &str, latencies: &Latencies) {
    let micros = |quantile| format!("{:.0}", latencies.value_at_quantile(quantile) as f64 / 1e3);
    let concurrency = if name.ends_with("at once") { CONCURRENCY as f64 } else { 1.0 };
    let rate = format!("{:.0}", concurrency * 1e9 / latencies.mean());
    table.add(vec![name.to_owned(), micros(0.5), micros(0.99), rate]);
}
