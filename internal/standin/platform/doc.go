// Package platform is a small stand-in for the platform: an object API with versions, conditional
// updates and watches, and a lagging host list, with faults by switch.
//
// A Store keeps the objects; each client of it holds a View with fault switches of its own, so
// that a test can cut off or mislead one host at a time. Handler serves a Store over HTTP.
package platform
