// Package item holds the commands template, account and target: list, show, apply, edit, diff and
// delete.
package item
