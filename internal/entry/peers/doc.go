// Package peers connects an entry host to the others: it exchanges heartbeats, forwards requests
// to other data centres, joins answers that another host produces, and serves the same to them.
package peers
