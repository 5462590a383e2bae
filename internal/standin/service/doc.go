// Package service is a small stand-in for a plain application service that holds slots and takes
// deposits. It counts each execution by key and can lose answers or close connections by switch.
package service
