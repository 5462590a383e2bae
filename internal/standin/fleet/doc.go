// Package fleet runs stand-ins on loopback listeners: the platform, engines and services.
package fleet
