"""Control messages between processes, over pyzmq."""
