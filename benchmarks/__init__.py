"""Benchmarks and simulations, one program per claim, and the fake peers that tests share with them."""
