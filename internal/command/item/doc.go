// Package item implements the commands template, account and target, with their subcommands list, show,
// apply, edit, diff and delete.
package item
