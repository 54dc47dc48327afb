"""Benchmarks and simulations, each a program of its own, and the test doubles that tests share with them."""
