// Package service is the HTTP client of plain application services. It passes request and answer bodies on unparsed.
package service
