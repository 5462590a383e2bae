// Package table holds the entities that the control systems work on: client accounts, targets,
// peers and their ids and units.
//
// Entities are plain values without behaviour of their own. The control goroutine owns the
// mutable tables; every other goroutine reads a published copy and must not change it.
package table
