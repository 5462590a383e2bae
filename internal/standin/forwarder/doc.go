// Package forwarder forwards TCP connections to a target. It can silence the open ones: they stay open but transfer nothing more, as
// when a network drops all packets. It can also hold what they transfer for a time.
package forwarder
