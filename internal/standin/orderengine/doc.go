// Package orderengine simulates how an engine executes orders, which set its role and admission. Options choose whether
// the engine checks fencing numbers. Tests can make it crash during a change and read the orders that it received.
package orderengine
