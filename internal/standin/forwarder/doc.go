// Package forwarder passes TCP connections on and can let those it has go silent for good.
package forwarder
