//! `explain`: shows where a request would be routed and why.

use argh::FromArgs;
use jb_protocol::admin::{Candidate, Explanation, LeftOut, Question};

use super::Context;
use crate::error::Error;
use crate::show;

/// Show where a request would be routed and why, without running it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// customer that sends the request
    #[argh(option)]
    customer: String,
    /// name of the route, as callers give it in `model`
    #[argh(option)]
    route: String,
    /// levels of the prompt, outermost first, each as `role: text`
    #[argh(positional)]
    levels: Vec<String>,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: Explain) -> Result<(), Error> {
    let question = Question {
        customer: arguments.customer,
        route: arguments.route,
        levels: arguments
            .levels
            .into_iter()
            .map(|level| format!("{level}\n"))
            .collect(),
    };
    let explanation: Explanation = context.client.post("/admin/explain", &question).await?;
    if context.json {
        show::json(&explanation);
        return Ok(());
    }
    println!(
        "service {}, hall {}, {} tokens, prefix family of {} tokens at migration point {}",
        explanation.service,
        explanation.hall,
        explanation.prompt_tokens,
        explanation.family_tokens,
        explanation.point
    );
    let row = |c: &Candidate| {
        let cached = if c.presumed {
            format!("{} presumed", c.cached_tokens)
        } else {
            c.cached_tokens.to_string()
        };
        vec![
            c.upstream.clone(),
            format!("{:.1}", c.wait_ms),
            cached,
            format!("{:.1}", c.cost_ms),
        ]
    };
    let weighing = &explanation.weighing;
    let rows: Vec<Vec<String>> = weighing.candidates.iter().map(row).collect();
    show::table(&["upstream", "wait ms", "cached", "cost ms"], &rows);
    if !weighing.left_out.is_empty() {
        let rows: Vec<Vec<String>> = weighing.left_out.iter().map(excluded_row).collect();
        show::table(&["excluded", "reason", "for ms"], &rows);
    }
    Ok(())
}

fn excluded_row(excluded: &LeftOut) -> Vec<String> {
    vec![
        excluded.upstream.clone(),
        excluded.obstacle.text().to_owned(),
        excluded.for_ms.map_or_else(String::new, |time| time.to_string()),
    ]
}
