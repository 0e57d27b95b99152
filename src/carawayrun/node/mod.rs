//! A running process: threads, sockets and the loop around the reducer.
