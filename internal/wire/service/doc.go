// Package service speaks to plain application services over HTTP. Bodies pass through unread.
package service
