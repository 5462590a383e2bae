// Package routes connects request routing to the configuration in force, the targets' load
// reports and what was last seen of each target.
package routes
