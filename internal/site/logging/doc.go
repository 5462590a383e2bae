// Package logging sets up structured logs. Neither keys nor prompt texts are ever logged.
package logging
