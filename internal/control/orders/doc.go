// Package orders gives engines their orders.
//
// Each order is absolute, carries a fencing number and an order number, and is recorded as an
// intent in the platform's object API before it is sent. Machine holds the decisions and does no
// I/O; Runner carries its actions out.
package orders
