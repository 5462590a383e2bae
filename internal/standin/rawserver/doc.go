// Package rawserver is an HTTP server that answers with raw bytes chosen by a test, for example malformed or endless
// responses.
package rawserver
