// Package orders sends configuration orders to the engines of a data centre.
//
// Each order states the whole setting, not a difference, and carries an order number and the fencing
// number of the sender's lease, which package authority manages. It is recorded as an intent in the
// platform's object API before it is sent. Machine makes the decisions and does no I/O; Runner executes
// the actions that Machine returns.
package orders
