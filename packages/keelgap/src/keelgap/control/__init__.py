"""Control messages between processes, sent over pyzmq."""
