//! Command-line flags of `sycamorerilld`.

use argh::FromArgs;

/// Runs one entry instance of sycamorerill. Each flag can be given as an
/// environment variable: SYCAMORERILL_ and its name in capitals.
#[derive(Clone, Debug, Default, FromArgs)]
#[argh(
    example = "{command_name} --name e1 --domain vejle-a --domains vejle-a,vejle-b --listen 10.0.0.1:8080 \\
  --operator-listen 10.0.0.1:8081 --peer-listen 10.0.0.1:8082 --platform 10.0.9.1:9000"
)]
pub struct Flags {
    /// name of this instance, unique in the deployment
    #[argh(option)]
    pub name: Option<String>,
    /// failure domain of this instance
    #[argh(option)]
    pub domain: Option<String>,
    /// region of this instance (default: main)
    #[argh(option)]
    pub region: Option<String>,
    /// address for callers, IP:PORT
    #[argh(option)]
    pub listen: Option<String>,
    /// address for operators, IP:PORT
    #[argh(option)]
    pub operator_listen: Option<String>,
    /// address for other entry instances, IP:PORT
    #[argh(option)]
    pub peer_listen: Option<String>,
    /// address of the platform, IP:PORT
    #[argh(option)]
    pub platform: Option<String>,
    /// addresses of other entry instances, IP:PORT separated by commas
    #[argh(option)]
    pub peers: Option<String>,
    /// all failure domains separated by commas, in an order that never changes
    #[argh(option)]
    pub domains: Option<String>,
    /// callers' connections at one time (default: 4096)
    #[argh(option)]
    pub max_connections: Option<String>,
    /// bytes in the head of a request (default: 16384)
    #[argh(option)]
    pub max_head_bytes: Option<String>,
    /// bytes in the body of a request or an answer (default: 4194304)
    #[argh(option)]
    pub max_body_bytes: Option<String>,
    /// time a caller may take to send the head of a request (default: 5s)
    #[argh(option)]
    pub head_time: Option<String>,
    /// time a caller may take to send the body of a request (default: 10s)
    #[argh(option)]
    pub body_time: Option<String>,
    /// longest wait for calls in progress at shutdown (default: 30s)
    #[argh(option)]
    pub drain_time: Option<String>,
    /// longest wait for one answer of the platform (default: 1s)
    #[argh(option)]
    pub platform_time: Option<String>,
    /// form of the log on standard error: text, json or off (default: text)
    #[argh(option)]
    pub log: Option<String>,
    /// seed of the random choices (default: taken from the name)
    #[argh(option)]
    pub seed: Option<String>,
    /// serve jobs on the users' platform, by the settings file that it writes
    #[argh(switch)]
    pub edge: bool,
    /// port on which metrics are served with --edge (default: none)
    #[argh(option)]
    pub metrics_port: Option<u16>,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}
