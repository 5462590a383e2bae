// Package engine is a stand-in for a model engine, for tests and the demo. Each token of its answers is
// derived from the prompt, so that a test can detect an answer that is truncated, corrupted or mixed with
// that of another request.
//
// A stream can be resumed from an event index, also for a limited time after its answer is finished. Requests can be
// cancelled, and Faults selects failures to simulate.
package engine
