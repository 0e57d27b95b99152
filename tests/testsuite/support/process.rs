//! One process of a test world.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A running process; killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts `program` with `args`; its output goes to a file of `dir`.
    pub(crate) fn spawn(dir: &Path, name: &str, program: &Path, args: &[String]) -> Self {
        let log = dir.join(format!("{name}.log"));
        let errors = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("log opens");
        let output = errors.try_clone().expect("log handle clones");
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("{} starts: {error}", program.display()));
        Self { child }
    }

    /// Ends it at once.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("a killed child is waited for");
    }

    /// Asks for a graceful stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells it that its settings changed.
    pub(crate) fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops its threads until [`Process::wake`].
    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// True once it has ended.
    pub(crate) fn ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("a child can be asked")
            .is_some()
    }

    /// The exit code, once it has ended by itself.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .expect("a child can be asked")
            .and_then(|status| status.code())
    }

    /// Most memory that it had at once, in KB; none once it has ended.
    pub(crate) fn peak_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Number of its open sockets.
    pub(crate) fn open_sockets(&self) -> usize {
        let dir = format!("/proc/{}/fd", self.child.id());
        let files = std::fs::read_dir(dir).into_iter().flatten().flatten();
        let targets = files.filter_map(|file| std::fs::read_link(file.path()).ok());
        targets
            .filter(|target| target.to_string_lossy().starts_with("socket:"))
            .count()
    }

    /// Processor time that it used so far, in clock ticks of 10 ms; none once it has ended.
    pub(crate) fn processor_ticks(&self) -> Option<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The name before may hold spaces.
        let (_, fields) = stat.rsplit_once(") ")?;
        let ticks = fields.split(' ').skip(11).take(2);
        ticks.map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process ids fit");
        let pid = Pid::from_raw(id).expect("process ids are positive");
        // The process may have ended by itself; then there is nothing to signal.
        let _ended = kill_process(pid, signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended() {
            self.kill();
        }
    }
}
