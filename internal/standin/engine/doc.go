// Package engine is a small stand-in for a model engine. It streams answers whose every token is
// derived from the prompt, so that a test can tell a whole answer from a crossed or broken one.
//
// It keeps the answers of finished requests for a while, resumes them from an offset, cancels on
// request, and misbehaves by switch.
package engine
