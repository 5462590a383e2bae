// Package operator implements the HTTP API for operators and its client. Requests are authenticated by a bearer key,
// bodies are JSON, and errors are application/problem+json.
//
// Edits and plans carry an id that the client chooses. A client that got no answer can send the same request again: it
// takes effect once.
package operator
