//! Submits a batch of jobs exactly once, even if the program is restarted, and
//! removes each job from the journal after its final answer is printed.
//!
//!     cargo run -p coralnotch-client --example nightly -- 127.0.0.1:7070

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use coralnotch_client::{generate_job_id, BlockingClient, Error as ClientError, FinalAnswer, Settings};
use coralnotch_wire::model::{JobSpec, Priority, Shape};

fn job_spec(tasks: u32) -> Result<JobSpec, Box<dyn Error>> {
    Ok(JobSpec {
        id: generate_job_id()?,
        class: "demo".into(),
        team: "demo".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "demo-image".into(),
        image_gb: 0.5,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread_by_zone: false,
        spot: true,
        estimated_run_time_s: 2.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    })
}

fn main() -> Result<(), Box<dyn Error>> {
    let endpoint: SocketAddr =
        std::env::args().nth(1).ok_or("missing argument: the endpoint to submit to, as IP:PORT")?.parse()?;
    let mut settings = Settings::new(vec![endpoint]);
    settings.journal = Some("nightly.journal".into());
    let client = BlockingClient::open(settings)?;

    // The journal keeps the name of the batch, so the batch is submitted only once
    // even if the program is killed and restarted.
    client.submit_once("tonight", vec![job_spec(1)?, job_spec(2)?, job_spec(3)?])?;

    for handle in client.client().resumed() {
        let answer = loop {
            match client.wait(&handle, Duration::from_secs(10)) {
                Ok(answer) => break answer,
                // The answer is not known yet; the client keeps tracking the job.
                Err(ClientError::Deadline { .. }) => println!("{} is unfinished: {:?}", handle.id(), handle.progress()),
                Err(error) => return Err(error.into()),
            }
        };
        match &answer {
            FinalAnswer::Done => println!("{} is done", handle.id()),
            FinalAnswer::Cancelled => println!("{} was cancelled", handle.id()),
            FinalAnswer::Refused { status, reason } => println!("{} was refused ({status}): {reason}", handle.id()),
        }
        // The program has acted on the answer; later runs do not get it again.
        client.acknowledge(handle)?;
    }
    Ok(())
}
