// Package caller serves the HTTP API for callers: chat and text completions in the form that model clients use, and
// plain services below /v1/services. Errors are problem documents that carry a verdict.
package caller
