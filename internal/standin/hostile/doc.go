// Package hostile answers HTTP calls with bytes that a test chooses.
package hostile
