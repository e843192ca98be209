"""Load experiments on real host processes."""
