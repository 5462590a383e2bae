// Package logging sets up structured logs. Keys and prompt texts are never logged.
package logging
