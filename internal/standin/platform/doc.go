// Package platform is a stand-in for the platform that the entry hosts share. It has an object API with versions,
// conditional updates and watches, and a host list that can lag behind.
//
// A Store keeps the objects in memory. Each client accesses it through a View with Faults of its own, so that a
// test can cut off one host or serve it stale data without affecting others. Handler serves a Store over HTTP.
package platform
