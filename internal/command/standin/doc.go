// Package standin implements the commands that run each stand-in (platform, engine, service) as a process.
package standin
