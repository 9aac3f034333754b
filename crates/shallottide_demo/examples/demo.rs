//! Runs the demo as the command line's `demo` does.

fn main() -> Result<(), shallottide_demo::DemoError> {
    shallottide_demo::run(false, &mut std::io::stdout())
}
