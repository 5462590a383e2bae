// Package orders is the part of the stand-in engine that takes orders. It checks or ignores
// fencing numbers by switch, crashes in the middle of a change by switch, and keeps what it got.
package orders
