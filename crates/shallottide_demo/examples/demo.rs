//! Runs the same demo as `shallottide demo`.

fn main() -> Result<(), shallottide_demo::DemoError> {
    shallottide_demo::run(false, &mut std::io::stdout())
}
