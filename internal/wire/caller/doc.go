// Package caller serves the callers' API: the completion conventions that model clients speak,
// plain services under a path of their own, and problem documents that carry a verdict.
package caller
