// Package peers connects an entry host to the other entry hosts. It exchanges heartbeats, forwards requests to
// other data centres and follows answers that another host produces. It serves the same calls of other hosts.
package peers
