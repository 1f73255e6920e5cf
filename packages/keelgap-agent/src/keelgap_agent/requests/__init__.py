"""The life of a request: admission, at most once, its answer."""
