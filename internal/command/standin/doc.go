// Package standin holds the commands that run stand-ins as processes.
package standin
