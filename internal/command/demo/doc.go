// Package demo implements the command demo, which runs the whole system in one process and sends one
// request of each kind.
package demo
