// Package router picks the target of each request. It feeds the routing algorithm of control/routing with the
// configuration in force, the targets' load reports and the recent failures and refusals of each target.
package router
