// Package forwarder forwards TCP connections to a target and can silence the open ones: they stay open but
// transfer nothing more, as when a network drops all packets.
package forwarder
