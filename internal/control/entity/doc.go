// Package entity defines the entities of the control plane: client accounts, targets, load reports and
// requests, with their ids and units.
//
// Entities are plain values without logic. The control goroutine owns the mutable tables; every other
// goroutine reads a published copy and must not change it.
package entity
