// Package orders sends configuration orders to the engines of a data centre.
//
// Each order states the whole setting, not a difference, and carries a fencing number and an order
// number. It is recorded as an intent in the platform's object API before it is sent. Machine makes
// the decisions and does no I/O; Runner executes the actions that Machine returns.
package orders
