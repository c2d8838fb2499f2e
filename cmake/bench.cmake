# Benchmarks.
