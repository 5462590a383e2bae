// Package httpserver runs the HTTP servers of stand-ins: the platform, engines and services.
package httpserver
