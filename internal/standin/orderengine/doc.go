// Package orderengine simulates how an engine executes orders for its role and admission. Options choose whether it
// checks fencing numbers; tests can make it crash during a change and read the orders that it received.
package orderengine
